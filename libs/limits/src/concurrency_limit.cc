#include "quetzalhinge/limits/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// The recent level follows a swing within milliseconds of steady traffic; the usual level rises
// slowly, so that a lasting overload is not soon taken for normal, and falls fast.
constexpr Seconds kRecentTime(0.05);
constexpr Seconds kUsualRiseTime(30);
constexpr Seconds kUsualFallTime(1);
// Responses that arrive together count as this far apart; a long gap counts as at most 1 s, so
// that the first sample after it does not replace the usual level.
constexpr Seconds kShortestGap(0.001);
constexpr Seconds kLongestGap(1);
// A worker that gets few requests has one sample in several recent times. With less than about ten
// samples in the average, the usual spread of service times would look like a slower worker, and
// the limit would fall to 1.
constexpr double kLargestSampleWeight = 0.1;
// One straggler must not shrink the limit for all; a worker that is slow exceeds this each time.
constexpr double kLargestSlowdown = 4;
constexpr double kSmallestGradient = 0.5;
// Part of a computed change that one response makes.
constexpr double kSmoothing = 0.2;
constexpr double kOverloadFactor = 0.5;
constexpr Duration kOverloadPause = std::chrono::milliseconds(100);

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
  LearnSlowdown(std::min(kLargestSlowdown, Seconds(latency) / Seconds(expected)), now);
  const double gradient = std::clamp(m_options.tolerance * m_usual_slowdown / m_recent_slowdown,
                                     kSmallestGradient, 1.0);
  double target = m_limit * gradient;
  // A limit that is not used says nothing about a higher one.
  if (gradient >= 1 && 2.0 * in_progress >= m_limit) {
    target = m_limit + 1;
  }
  m_limit = std::clamp(m_limit + kSmoothing * (target - m_limit), 1.0,
                       static_cast<double>(m_options.max));
}

void ConcurrencyLimit::OnOverload(TimePoint now) noexcept {
  if (m_last_overload != TimePoint() && now - m_last_overload < kOverloadPause) {
    return;
  }
  m_last_overload = now;
  m_limit = std::max(1.0, m_limit * kOverloadFactor);
}

void ConcurrencyLimit::LearnSlowdown(double slowdown, TimePoint now) noexcept {
  if (m_usual_slowdown <= 0) {
    m_recent_slowdown = slowdown;
    m_usual_slowdown = slowdown;
  }
  const Seconds gap = std::clamp(Seconds(now - m_last_sample), kShortestGap, kLongestGap);
  m_last_sample = std::max(m_last_sample, now);
  m_recent_slowdown +=
      std::min(kLargestSampleWeight, Weight(gap, kRecentTime)) * (slowdown - m_recent_slowdown);
  const Seconds usual_time = m_recent_slowdown > m_usual_slowdown ? kUsualRiseTime : kUsualFallTime;
  m_usual_slowdown += Weight(gap, usual_time) * (m_recent_slowdown - m_usual_slowdown);
}

}  // namespace qh::limits
