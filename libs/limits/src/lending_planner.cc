#include "lending_planner.h"

#include <algorithm>

namespace qh::limits {
namespace {

// Smaller loans are not worth their messages.
constexpr double kSmallestPartOfBase = 0.01;

}  // namespace

double LendingPlanner::Decide(const BorrowRequest& request, double spare, double base,
                              const LoanBook& lent, TimePoint now) {
  std::erase_if(m_asks, [&](const auto& entry) { return entry.second.at + m_ask_memory < now; });
  m_asks[request.borrower] = Ask{request.fraction, now};
  const double equal_part = spare / static_cast<double>(m_asks.size());

  // The loans of others can only be waited for. What others ask for is kept free up to an equal
  // part, so that renewals shrink until every borrower has its part.
  const double lent_to_others = lent.Total(now) - lent.Of(request.borrower, now);
  double kept_for_others = lent_to_others;
  for (const auto& [slot, ask] : m_asks) {
    if (slot != request.borrower) {
      kept_for_others += std::max(0.0, std::min(ask.fraction, equal_part) - lent.Of(slot, now));
    }
  }
  const double most = std::min(spare - kept_for_others, base - lent_to_others);
  const double granted = std::min(request.fraction, most);
  return granted < base * kSmallestPartOfBase && granted < request.fraction ? 0 : granted;
}

}  // namespace qh::limits
