#pragma once

#include <cstdint>
#include <optional>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/retries/retry_budget.h"

namespace qh::retries {

/** A request whose first attempt is running and that may be hedged. */
struct HedgeCandidate {
  /** The contract marks the route idempotent. */
  bool idempotent = false;
  /** The request has the header `x-qh-no-retry: 1`. */
  bool no_retry = false;
  TimePoint deadline;
  /** 95th percentile of the route's latency. */
  Duration p95{};
  /** Number of responses from which `p95` was computed. */
  std::uint64_t samples = 0;
};

/** Decides whether and when a hedged request is sent, while the first attempt is still running. */
class HedgePolicy {
 public:
  /** @param min_samples number of responses from which on a p95 is reliable enough for hedging */
  explicit HedgePolicy(std::uint64_t min_samples = 50) noexcept : m_min_samples(min_samples) {}

  /**
   * Returns the delay between the start of the first attempt and the hedged request: the p95, at
   * least 1 ms. Returns std::nullopt if the request may not be hedged, or if less than another p95
   * would be left until the deadline.
   */
  std::optional<Duration> DelayOf(const HedgeCandidate& candidate, TimePoint now) const noexcept;

  /** Call after the delay: if the hedged request may be sent, takes a token and returns true. */
  bool TryStart(const HedgeCandidate& candidate, TimePoint now, RetryBudget& budget) const noexcept;

 private:
  bool MayHedge(const HedgeCandidate& candidate) const noexcept;

  std::uint64_t m_min_samples;
};

}  // namespace qh::retries
