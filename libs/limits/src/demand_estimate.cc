#include "demand_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// After 0.5 s the short average has reached 81% of a new rate. With the headroom factor of 1.25, a
// VM then requests its full demand, well within the 2 s in which a customer must get its full rate.
constexpr Seconds kShortTimeConstant(0.3);
// Equals the default loan lifetime: a lender retains what it needed during the last loan.
constexpr Seconds kLongTimeConstant(3.0);

double Decay(Duration elapsed, Seconds time_constant) noexcept {
  const double seconds = std::max(0.0, Seconds(elapsed).count());
  return std::exp(-seconds / time_constant.count());
}

}  // namespace

void DemandEstimate::Count(TimePoint now) noexcept {
  m_short_average =
      m_short_average * Decay(now - m_updated, kShortTimeConstant) + 1 / kShortTimeConstant.count();
  m_long_average =
      m_long_average * Decay(now - m_updated, kLongTimeConstant) + 1 / kLongTimeConstant.count();
  m_updated = std::max(m_updated, now);
}

double DemandEstimate::RecentRate(TimePoint now) const noexcept {
  return m_short_average * Decay(now - m_updated, kShortTimeConstant);
}

double DemandEstimate::ConservativeRate(TimePoint now) const noexcept {
  return std::max(RecentRate(now), m_long_average * Decay(now - m_updated, kLongTimeConstant));
}

}  // namespace qh::limits
