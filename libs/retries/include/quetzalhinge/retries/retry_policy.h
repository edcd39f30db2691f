#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/retries/retry_budget.h"

namespace qh::retries {

/** Stage at which an attempt ended; determines whether the worker may have run the request. */
enum class AttemptStage {
  /** No connection was established, so no byte of the request was written. */
  kNotConnected,
  /** The worker responded with 503 and `x-qh-not-run: 1`. */
  kRefusedNotRun,
  /** Part of the request may have been written, and no complete response was received. */
  kMayHaveRun,
  /** A complete response was received; it is forwarded regardless of its status. */
  kAnswered,
};

/** A failed attempt and its request. */
struct FailedAttempt {
  AttemptStage stage = AttemptStage::kMayHaveRun;
  /** The contract marks the route idempotent. */
  bool idempotent = false;
  /** The request has the header `x-qh-no-retry: 1`: an earlier caller in the chain retries. */
  bool no_retry = false;
  /** Number of attempts so far, including hedged requests; at least 1. */
  std::uint32_t attempts = 1;
  TimePoint deadline;
  /** Expected latency of the route; no retry is made if less time is left. */
  Duration expected{};
};

/** Whether to retry a request; values other than kRetry name the first rule that forbids it. */
enum class RetryDecision {
  kRetry,
  /** A complete response was received. */
  kAnswered,
  /** The request is not idempotent and the worker may have run it. */
  kMayHaveRun,
  /** The request forbids retries, because an earlier caller in the chain does them. */
  kNestedCall,
  /** The maximum number of attempts has been reached. */
  kTooManyAttempts,
  /** The deadline has passed, or less time is left than the route is expected to need. */
  kNoTimeLeft,
  /** The retry budget is empty. */
  kBudgetSpent,
};

/** Returns the name of `decision` that counters and the timeline use. */
const char* ToString(RetryDecision decision) noexcept;

/** Returns whether it is certain that an attempt that ended at `stage` did not run the request. */
bool CertainlyNotRun(AttemptStage stage) noexcept;

/** Decides whether a failed request is retried at another worker. */
class RetryPolicy {
 public:
  /** @param max_attempts maximum number of attempts of one request, including hedged requests */
  explicit RetryPolicy(std::uint32_t max_attempts = 3) noexcept : m_max_attempts(max_attempts) {}

  /**
   * Decides on a failed attempt. Takes a token from `budget` if the decision is kRetry. A request
   * that is not idempotent is retried only if it is certain that the worker did not run it.
   */
  RetryDecision Decide(const FailedAttempt& attempt, TimePoint now,
                       RetryBudget& budget) const noexcept;

 private:
  std::uint32_t m_max_attempts;
};

}  // namespace qh::retries
