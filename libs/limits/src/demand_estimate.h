#pragma once

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Estimates the arrival rate of requests by exponential moving averages over two windows. */
class DemandEstimate {
 public:
  explicit DemandEstimate(TimePoint now) noexcept : m_updated(now) {}

  /** Counts one request. */
  void Count(TimePoint now) noexcept;

  /** Returns the requests per second of the 0.3 s average; determines how much to borrow. */
  double RecentRate(TimePoint now) const noexcept;

  /** Returns the larger of the 0.3 s and the 3 s average; determines how much not to lend. */
  double ConservativeRate(TimePoint now) const noexcept;

 private:
  double m_short_average = 0;
  double m_long_average = 0;
  TimePoint m_updated;
};

}  // namespace qh::limits
