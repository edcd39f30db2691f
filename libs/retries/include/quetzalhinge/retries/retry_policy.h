#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/retries/retry_budget.h"

namespace qh::retries {

/** How far a failed attempt came; decides whether the work may have run. */
enum class AttemptStage {
  /** No connection was established: no byte of the request was written. */
  kNotConnected,
  /** The worker answered 503 with `x-qh-not-run: 1`. */
  kRefusedNotRun,
  /** A byte of the request may have been written and no complete response came back. */
  kMayHaveRun,
  /** A complete response came back; it is forwarded whatever its status. */
  kAnswered,
};

/** A failed attempt and its request. */
struct FailedAttempt {
  AttemptStage stage = AttemptStage::kMayHaveRun;
  /** The contract marks the route idempotent. */
  bool idempotent = false;
  /** The request carries `x-qh-no-retry: 1`: a caller further up retries. */
  bool no_retry = false;
  /** Attempts made so far, hedges included, at least 1. */
  std::uint32_t attempts = 1;
  TimePoint deadline;
  /** Usual latency of the route; a retry that has less time left is not made. */
  Duration expected{};
};

/** Whether to send the request again; the refusals name the first rule that forbids it. */
enum class RetryDecision {
  kRetry,
  kAnswered,
  kMayHaveRun,
  kNestedCall,
  kTooManyAttempts,
  kNoTimeLeft,
  kBudgetSpent,
};

/** Returns the stable name of `decision`, for counters and the timeline. */
const char* ToString(RetryDecision decision) noexcept;

/** Returns whether the work certainly did not run in an attempt that ended at `stage`. */
bool CertainlyNotRun(AttemptStage stage) noexcept;

/** Decides whether a failed attempt is repeated at another worker. */
class RetryPolicy {
 public:
  /** @param max_attempts largest number of attempts of one request, hedges included */
  explicit RetryPolicy(std::uint32_t max_attempts = 3) noexcept : m_max_attempts(max_attempts) {}

  /**
   * Decides on a failed attempt and, if it answers kRetry, takes a token from `budget`.
   * A request that is not idempotent is only repeated if the attempt certainly did not run it.
   */
  RetryDecision Decide(const FailedAttempt& attempt, TimePoint now,
                       RetryBudget& budget) const noexcept;

 private:
  std::uint32_t m_max_attempts;
};

}  // namespace qh::retries
