#pragma once

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Arrival rate of requests, as exponentially weighted averages over a short and a long time. */
class DemandEstimate {
 public:
  explicit DemandEstimate(TimePoint now) noexcept : m_updated(now) {}

  /** Counts one request. */
  void Count(TimePoint now) noexcept;

  /** Returns requests a second over about 0.3 s: what to borrow for. */
  double Recent(TimePoint now) const noexcept;

  /** Returns the larger of the short and the 3 s average: what not to lend. */
  double Cautious(TimePoint now) const noexcept;

 private:
  double m_short = 0;
  double m_long = 0;
  TimePoint m_updated;
};

}  // namespace qh::limits
