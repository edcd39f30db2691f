#pragma once

namespace qh::idempotency {

/** Why a request with an idempotency key is rejected instead of being run or replayed. */
enum class KeyRefusal {
  /** The first attempt is still running. */
  kInProgress,
  /** The outcome of the first attempt is unknown, or its response was too large to store. */
  kOutcomeUnknown,
  /** The key was refused permanently: its request did not run and never will. */
  kRefused,
  /** The key was used for a different request. */
  kReused,
  /** The table has no room for another key or response. */
  kTableFull,
  /** The key was never started and its validity has ended. */
  kExpired,
  /** The key's retention has ended, so it is no longer known whether its request ran. */
  kRetentionEnded,
  /** The key's time of issue is in the future by this VM's clock. */
  kNotYetValid,
  /** An earlier incarnation of this VM holds the key. */
  kLost,
  /** Another VM holds the key. */
  kOtherHolder,
  /** Only for peers: the key is absent and could not be blocked from starting later. */
  kNotBarred,
};

/** The response to a caller whose request was rejected. */
struct KeyAnswer {
  /** Error code in the JSON body. Part of the interface. */
  const char* code;
  /** HTTP status. */
  int status;
  /** True for the outcome `not-run`, false for `unknown`. */
  bool not_run;
};

/** Returns the response for a rejected request. */
KeyAnswer AnswerTo(KeyRefusal refusal) noexcept;

}  // namespace qh::idempotency
