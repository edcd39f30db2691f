#include "quetzalhinge/limits/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constants of the moving averages. Under steady traffic the recent average follows a change
// within milliseconds. The baseline rises slowly, so that a persistent overload does not soon
// become the baseline, and falls fast.
constexpr Seconds kRecentTimeConstant(0.05);
constexpr Seconds kBaselineRiseTimeConstant(30);
constexpr Seconds kBaselineFallTimeConstant(1);
// Bounds of the gap between samples. The minimum applies to responses that arrive together; the
// maximum prevents the first sample after a long gap from replacing the baseline.
constexpr Seconds kMinSampleGap(0.001);
constexpr Seconds kMaxSampleGap(1);
// At a worker with few requests, the gap between samples is several times kRecentTimeConstant. With
// fewer than about ten samples in the average, the normal variance of service times would look like
// a slower worker, and the limit would fall to 1.
constexpr double kMaxSampleWeight = 0.1;
// Caps the effect of a single straggler; a slow worker exceeds the cap with every response.
constexpr double kMaxLatencyRatio = 4;
constexpr double kMinGradient = 0.5;
// Fraction of the distance to the target limit that one response applies.
constexpr double kSmoothing = 0.2;
constexpr double kOverloadBackoffFactor = 0.5;
constexpr Duration kOverloadCooldown = std::chrono::milliseconds(100);

double Weight(Seconds gap, Seconds time_constant) noexcept {
  return 1 - std::exp(-gap.count() / time_constant.count());
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options) noexcept
    : m_options(options), m_limit(std::clamp(options.initial, 1U, std::max(1U, options.max))) {
  m_options.max = std::max(1U, options.max);
  m_options.tolerance = std::max(1.0, options.tolerance);
}

void ConcurrencyLimit::OnResponse(Duration latency, Duration expected, std::uint32_t in_progress,
                                  TimePoint now) noexcept {
  if (latency <= Duration(0) || expected <= Duration(0)) {
    return;
  }
  UpdateLatencyRatios(std::min(kMaxLatencyRatio, Seconds(latency) / Seconds(expected)), now);
  const double gradient = std::clamp(
      m_options.tolerance * m_baseline_latency_ratio / m_recent_latency_ratio, kMinGradient, 1.0);
  double target = m_limit * gradient;
  // Grow only while the limit is utilized: otherwise latency says nothing about a higher limit.
  if (gradient >= 1 && 2.0 * in_progress >= m_limit) {
    target = m_limit + 1;
  }
  m_limit = std::clamp(m_limit + kSmoothing * (target - m_limit), 1.0,
                       static_cast<double>(m_options.max));
}

void ConcurrencyLimit::OnOverload(TimePoint now) noexcept {
  if (m_last_overload != TimePoint() && now - m_last_overload < kOverloadCooldown) {
    return;
  }
  m_last_overload = now;
  m_limit = std::max(1.0, m_limit * kOverloadBackoffFactor);
}

void ConcurrencyLimit::UpdateLatencyRatios(double latency_ratio, TimePoint now) noexcept {
  if (m_baseline_latency_ratio <= 0) {
    m_recent_latency_ratio = latency_ratio;
    m_baseline_latency_ratio = latency_ratio;
  }
  const Seconds gap = std::clamp(Seconds(now - m_last_sample), kMinSampleGap, kMaxSampleGap);
  m_last_sample = std::max(m_last_sample, now);
  m_recent_latency_ratio += std::min(kMaxSampleWeight, Weight(gap, kRecentTimeConstant)) *
                            (latency_ratio - m_recent_latency_ratio);
  const Seconds baseline_time_constant = m_recent_latency_ratio > m_baseline_latency_ratio
                                             ? kBaselineRiseTimeConstant
                                             : kBaselineFallTimeConstant;
  m_baseline_latency_ratio +=
      Weight(gap, baseline_time_constant) * (m_recent_latency_ratio - m_baseline_latency_ratio);
}

}  // namespace qh::limits
