#include "borrow_planner.h"

#include <algorithm>
#include <utility>

namespace qh::limits {
namespace {

constexpr std::size_t kMaxPendingPerLender = 8;
// Messages may be lost, so the first unanswered requests are repeated without backoff: 6 attempts
// fit into the 2 s within which a customer must get its full rate. After that, exponential backoff
// extends the interval up to 8 times.
constexpr int kRepeatsWithoutBackoff = 4;
constexpr int kMaxBackoffDoublings = 3;
constexpr double kNegligibleFraction = 1e-9;

}  // namespace

BorrowPlanner::BorrowPlanner(const RateShareOptions& options, std::vector<SlotNumber> lenders,
                             double base_share)
    : m_options(options), m_lender_order(std::move(lenders)), m_base_share(base_share) {}

std::vector<BorrowRequest> BorrowPlanner::Plan(double wanted, const LoanBook& received,
                                               TimePoint now, RandomGenerator& generator) {
  std::vector<BorrowRequest> requests;
  for (const SlotNumber slot : m_lender_order) {
    if (wanted <= kNegligibleFraction) {
      break;
    }
    const Lender& lender = m_lenders[slot];
    const double requested = std::min(m_base_share, wanted);
    const double borrowed = std::min(requested, received.LoanFraction(slot, now));
    const bool satisfied = borrowed + kNegligibleFraction >= requested;
    // If a lender granted less than requested or does not respond, only its current loan is
    // counted, and the remainder is requested from the following lenders.
    wanted -= (lender.granted_less || lender.unanswered_requests > 1) ? borrowed : requested;
    if (IsDue(lender, satisfied, now)) {
      requests.push_back(MakeRequest(slot, requested, now, generator));
    }
  }
  return requests;
}

std::optional<PendingRequest> BorrowPlanner::PopPending(const LoanGrant& grant, TimePoint now) {
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
  lender.unanswered_requests = 0;
  lender.granted_less = grant.fraction + kNegligibleFraction < pending.fraction;
  return pending;
}

bool BorrowPlanner::IsDue(const Lender& lender, bool satisfied, TimePoint now) const noexcept {
  if (!lender.last_sent) {
    return true;
  }
  const Duration elapsed = now - *lender.last_sent;
  if (lender.unanswered_requests == 0 && (satisfied || lender.granted_less)) {
    return elapsed >= m_options.renew_interval;
  }
  const int doublings =
      std::clamp(lender.unanswered_requests - kRepeatsWithoutBackoff, 0, kMaxBackoffDoublings);
  return elapsed >= m_options.request_interval * (1 << doublings);
}

BorrowRequest BorrowPlanner::MakeRequest(SlotNumber slot, double fraction, TimePoint now,
                                         RandomGenerator& generator) {
  Lender& lender = m_lenders[slot];
  const BorrowRequest request{generator(), m_options.own_slot, slot, fraction,
                              m_options.loan_lifetime};
  if (lender.pending.size() >= kMaxPendingPerLender) {
    lender.pending.pop_front();
  }
  lender.pending.push_back(PendingRequest{request.request_id, fraction, now});
  lender.last_sent = now;
  ++lender.unanswered_requests;
  return request;
}

}  // namespace qh::limits
