#include "quetzalhinge/retries/retry_policy.h"

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/retries/deadline.h"

namespace qh::retries {
namespace {

constexpr EnumTable<RetryDecision, 7> kDecisionNames{{{
    {RetryDecision::kRetry, "retry"},
    {RetryDecision::kAnswered, "answered"},
    {RetryDecision::kMayHaveRun, "may_have_run"},
    {RetryDecision::kNestedCall, "nested_call"},
    {RetryDecision::kTooManyAttempts, "too_many_attempts"},
    {RetryDecision::kNoTimeLeft, "no_time_left"},
    {RetryDecision::kBudgetSpent, "budget_spent"},
}}};

}  // namespace

const char* ToString(RetryDecision decision) noexcept { return kDecisionNames.NameOf(decision); }

bool CertainlyNotRun(AttemptStage stage) noexcept {
  return stage == AttemptStage::kNotConnected || stage == AttemptStage::kRefusedNotRun;
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& attempt, TimePoint now,
                                  RetryBudget& budget) const noexcept {
  if (attempt.stage == AttemptStage::kAnswered) {
    return RetryDecision::kAnswered;
  }
  if (!attempt.idempotent && !CertainlyNotRun(attempt.stage)) {
    return RetryDecision::kMayHaveRun;
  }
  if (attempt.no_retry) {
    return RetryDecision::kNestedCall;
  }
  if (attempt.attempts >= m_max_attempts) {
    return RetryDecision::kTooManyAttempts;
  }
  const Duration left = TimeLeft(attempt.deadline, now);
  if (left <= Duration(0) || left < attempt.expected) {
    return RetryDecision::kNoTimeLeft;
  }
  // Checked last, because it takes a token from the budget.
  return budget.TryTake() ? RetryDecision::kRetry : RetryDecision::kBudgetSpent;
}

}  // namespace qh::retries
