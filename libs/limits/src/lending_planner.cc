#include "lending_planner.h"

#include <algorithm>

namespace qh::limits {
namespace {

// Smaller loans do not justify the cost of their messages.
constexpr double kMinLoanPerBaseShare = 0.01;

}  // namespace

double LendingPlanner::FractionToLend(const BorrowRequest& request, double spare, double base_share,
                                      const LoanBook& granted_loans, TimePoint now) {
  std::erase_if(m_latest_requests, [&](const auto& entry) {
    return entry.second.received_at + m_request_retention < now;
  });
  m_latest_requests[request.borrower] = LatestRequest{request.fraction, now};
  const double equal_part = spare / static_cast<double>(m_latest_requests.size());

  // Loans granted to other borrowers cannot be revoked, only expire. The requests of others are
  // reserved up to an equal part each, so that renewals shrink until each borrower has its part.
  const double granted_to_others =
      granted_loans.TotalLoanFraction(now) - granted_loans.LoanFraction(request.borrower, now);
  double reserved_for_others = granted_to_others;
  for (const auto& [slot, latest] : m_latest_requests) {
    if (slot != request.borrower) {
      reserved_for_others += std::max(
          0.0, std::min(latest.fraction, equal_part) - granted_loans.LoanFraction(slot, now));
    }
  }
  const double available = std::min(spare - reserved_for_others, base_share - granted_to_others);
  const double loan_fraction = std::min(request.fraction, available);
  return loan_fraction < base_share * kMinLoanPerBaseShare && loan_fraction < request.fraction
             ? 0
             : loan_fraction;
}

}  // namespace qh::limits
