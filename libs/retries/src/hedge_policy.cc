#include "quetzalhinge/retries/hedge_policy.h"

#include <algorithm>
#include <chrono>

#include "quetzalhinge/retries/deadline.h"

namespace qh::retries {
namespace {

// Shorter delays are below the precision of the event loop's timers, and opening a second
// connection costs as much.
constexpr Duration kMinDelay = std::chrono::milliseconds(1);

}  // namespace

std::optional<Duration> HedgePolicy::DelayOf(const HedgeCandidate& candidate,
                                             TimePoint now) const noexcept {
  if (!MayHedge(candidate)) {
    return std::nullopt;
  }
  const Duration delay = std::max(kMinDelay, candidate.p95);
  if (TimeLeft(candidate.deadline, now) < delay + candidate.p95) {
    return std::nullopt;
  }
  return delay;
}

bool HedgePolicy::TryStart(const HedgeCandidate& candidate, TimePoint now,
                           RetryBudget& budget) const noexcept {
  return MayHedge(candidate) && TimeLeft(candidate.deadline, now) >= candidate.p95 &&
         budget.TryTake();
}

bool HedgePolicy::MayHedge(const HedgeCandidate& candidate) const noexcept {
  return candidate.idempotent && !candidate.no_retry && candidate.samples >= m_min_samples &&
         candidate.p95 > Duration(0);
}

}  // namespace qh::retries
