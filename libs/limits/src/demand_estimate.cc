#include "demand_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// After 0.5 s the short average has reached 81% of a new rate, so that with the headroom of 1.25 a
// VM asks for all that it needs well within the 2 s of the design page.
constexpr Seconds kShort(0.3);
// As long as a loan lives: a lender keeps what it needed within the last loan.
constexpr Seconds kLong(3.0);

double Decay(Duration elapsed, Seconds time_constant) noexcept {
  const double seconds = std::max(0.0, Seconds(elapsed).count());
  return std::exp(-seconds / time_constant.count());
}

}  // namespace

void DemandEstimate::Count(TimePoint now) noexcept {
  m_short = m_short * Decay(now - m_updated, kShort) + 1 / kShort.count();
  m_long = m_long * Decay(now - m_updated, kLong) + 1 / kLong.count();
  m_updated = std::max(m_updated, now);
}

double DemandEstimate::Recent(TimePoint now) const noexcept {
  return m_short * Decay(now - m_updated, kShort);
}

double DemandEstimate::Cautious(TimePoint now) const noexcept {
  return std::max(Recent(now), m_long * Decay(now - m_updated, kLong));
}

}  // namespace qh::limits
