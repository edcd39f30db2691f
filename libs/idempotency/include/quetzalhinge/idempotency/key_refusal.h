#pragma once

namespace qh::idempotency {

/** Why a request with a key is answered without running it now. */
enum class KeyRefusal {
  /** The first attempt is still running. */
  kInProgress,
  /** The first attempt ended unknown, or its response was too large to keep. */
  kOutcomeUnknown,
  /** The key was refused for good; it did not run and never will. */
  kRefused,
  /** Another request used the key. */
  kReused,
  /** No room for another key. */
  kTableFull,
  /** The key was never started and is too old to be started. */
  kExpired,
  /** The key's retention has ended: whether it ran is no longer known. */
  kRetentionEnded,
  /** The key was issued in the future by this VM's clock. */
  kNotYetValid,
  /** An earlier incarnation of this VM holds the key. */
  kLost,
  /** Another VM holds the key. */
  kOtherHolder,
  /** Only for peers: the key is absent, and it could not be barred from starting later. */
  kNotBarred,
};

/** What the caller is told. */
struct KeyAnswer {
  /** Stable code of the JSON error. */
  const char* code;
  int status;
  /** True for `not-run`, false for `unknown`. */
  bool not_run;
};

/** Returns the answer to a caller whose request was refused. */
KeyAnswer AnswerTo(KeyRefusal refusal) noexcept;

}  // namespace qh::idempotency
