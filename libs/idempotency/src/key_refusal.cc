#include "quetzalhinge/idempotency/key_refusal.h"

namespace qh::idempotency {

KeyAnswer AnswerTo(KeyRefusal refusal) noexcept {
  switch (refusal) {
    case KeyRefusal::kInProgress:
      return {"key_in_progress", 504, false};
    case KeyRefusal::kOutcomeUnknown:
    case KeyRefusal::kRetentionEnded:
    case KeyRefusal::kNotBarred:
      return {"outcome_unknown", 502, false};
    case KeyRefusal::kLost:
    case KeyRefusal::kOtherHolder:
      return {"key_lost", 502, false};
    case KeyRefusal::kReused:
      return {"key_reused", 422, true};
    case KeyRefusal::kTableFull:
      return {"key_table_full", 503, true};
    case KeyRefusal::kNotYetValid:
      // The key can still start later, so the code does not ask the caller for a new key.
      return {"not_ready", 503, true};
    case KeyRefusal::kRefused:
    case KeyRefusal::kExpired:
      return {"key_refused", 503, true};
  }
  return {"outcome_unknown", 502, false};
}

}  // namespace qh::idempotency
