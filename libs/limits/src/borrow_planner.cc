#include "borrow_planner.h"

#include <algorithm>
#include <utility>

namespace qh::limits {
namespace {

constexpr std::size_t kMostPendingPerLender = 8;
// A message may be lost, so the first requests without an answer are repeated soon: 6 tries fit
// into the 2 s within which a customer's full rate is promised. After that, a lender that does not
// answer is asked at most 8 times less often.
constexpr int kQuickRepeats = 4;
constexpr int kMostBackoffDoublings = 3;
constexpr double kNegligibleFraction = 1e-9;

}  // namespace

BorrowPlanner::BorrowPlanner(const RateShareOptions& options, std::vector<SlotNumber> lenders,
                             double base)
    : m_options(options), m_order(std::move(lenders)), m_base(base) {}

std::vector<BorrowRequest> BorrowPlanner::Plan(double wanted, const LoanBook& held, TimePoint now,
                                               RandomGenerator& generator) {
  std::vector<BorrowRequest> requests;
  for (const SlotNumber slot : m_order) {
    if (wanted <= kNegligibleFraction) {
      break;
    }
    const Lender& lender = m_lenders[slot];
    const double ask = std::min(m_base, wanted);
    const double has = std::min(ask, held.Of(slot, now));
    const bool satisfied = has + kNegligibleFraction >= ask;
    // A lender that gave less than asked, or nothing at all, is counted with what it gave, so that
    // the rest is asked of the lenders behind it.
    wanted -= (lender.granted_less || lender.unanswered > 1) ? has : ask;
    if (IsDue(lender, satisfied, now)) {
      requests.push_back(MakeRequest(slot, ask, now, generator));
    }
  }
  return requests;
}

std::optional<PendingRequest> BorrowPlanner::TakePending(const LoanGrant& grant, TimePoint now) {
  const auto found = m_lenders.find(grant.lender);
  if (found == m_lenders.end()) {
    return std::nullopt;
  }
  Lender& lender = found->second;
  const auto match = std::find_if(
      lender.pending.begin(), lender.pending.end(),
      [&](const PendingRequest& pending) { return pending.request_id == grant.request_id; });
  if (match == lender.pending.end()) {
    return std::nullopt;
  }
  const PendingRequest pending = *match;
  lender.pending.erase(match);
  if (pending.sent + m_options.loan_lifetime <= now) {
    return std::nullopt;
  }
  lender.unanswered = 0;
  lender.granted_less = grant.fraction + kNegligibleFraction < pending.fraction;
  return pending;
}

bool BorrowPlanner::IsDue(const Lender& lender, bool satisfied, TimePoint now) const noexcept {
  if (!lender.last_sent) {
    return true;
  }
  const Duration since = now - *lender.last_sent;
  if (lender.unanswered == 0 && (satisfied || lender.granted_less)) {
    return since >= m_options.renew_interval;
  }
  const int doublings = std::clamp(lender.unanswered - kQuickRepeats, 0, kMostBackoffDoublings);
  return since >= m_options.request_interval * (1 << doublings);
}

BorrowRequest BorrowPlanner::MakeRequest(SlotNumber slot, double fraction, TimePoint now,
                                         RandomGenerator& generator) {
  Lender& lender = m_lenders[slot];
  const BorrowRequest request{generator(), m_options.own_slot, slot, fraction,
                              m_options.loan_lifetime};
  if (lender.pending.size() >= kMostPendingPerLender) {
    lender.pending.pop_front();
  }
  lender.pending.push_back(PendingRequest{request.request_id, fraction, now});
  lender.last_sent = now;
  ++lender.unanswered;
  return request;
}

}  // namespace qh::limits
