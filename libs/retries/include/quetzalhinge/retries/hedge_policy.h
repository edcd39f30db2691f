#pragma once

#include <cstdint>
#include <optional>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/retries/retry_budget.h"

namespace qh::retries {

/** The request whose first attempt is running. */
struct HedgeCandidate {
  bool idempotent = false;
  /** The request carries `x-qh-no-retry: 1`. */
  bool no_retry = false;
  TimePoint deadline;
  /** 95th percentile of the route's latency. */
  Duration p95{};
  /** Responses that `p95` was computed from. */
  std::uint64_t samples = 0;
};

/** Decides when a second attempt is started while the first is still running. */
class HedgePolicy {
 public:
  /** @param min_samples below this number of responses a p95 means nothing and nothing is hedged */
  explicit HedgePolicy(std::uint64_t min_samples = 50) noexcept : m_min_samples(min_samples) {}

  /**
   * Returns how long after the first attempt's start a second one is due: the p95, at least 1 ms.
   * Nothing if the request may not be hedged or too little time would be left for another p95.
   */
  std::optional<Duration> DelayOf(const HedgeCandidate& candidate, TimePoint now) const noexcept;

  /** When the delay is over: takes a token and returns true if the second attempt may start. */
  bool TryStart(const HedgeCandidate& candidate, TimePoint now, RetryBudget& budget) const noexcept;

 private:
  bool MayHedge(const HedgeCandidate& candidate) const noexcept;

  std::uint64_t m_min_samples;
};

}  // namespace qh::retries
