#include "loan_book.h"

#include <algorithm>

namespace qh::limits {
namespace {

// A borrower sends a lender at most one request per 200 ms, and the lender reclaims a loan after
// 3.2 s, so 16 loans suffice even if each is smaller than the previous one.
constexpr std::size_t kMaxLoansPerPeer = 16;

bool Supersedes(const Loan& a, const Loan& b) noexcept {
  return a.fraction >= b.fraction && a.until >= b.until;
}

double LargestAt(const std::vector<Loan>& loans, TimePoint time) noexcept {
  double largest = 0;
  for (const Loan& loan : loans) {
    if (loan.until > time) {
      largest = std::max(largest, loan.fraction);
    }
  }
  return largest;
}

}  // namespace

bool LoanBook::Add(SlotNumber peer, const Loan& loan) {
  std::vector<Loan>& loans = m_loans[peer];
  const auto supersedes_new = [&](const Loan& old) { return Supersedes(old, loan); };
  if (std::any_of(loans.begin(), loans.end(), supersedes_new)) {
    return true;
  }
  std::erase_if(loans, [&](const Loan& old) { return Supersedes(loan, old); });
  if (loans.size() >= kMaxLoansPerPeer) {
    return false;
  }
  loans.push_back(loan);
  return true;
}

std::optional<double> LoanBook::Find(SlotNumber peer, std::uint64_t request_id) const {
  const auto found = m_loans.find(peer);
  if (found == m_loans.end()) {
    return std::nullopt;
  }
  for (const Loan& loan : found->second) {
    if (loan.request_id == request_id) {
      return loan.fraction;
    }
  }
  return std::nullopt;
}

double LoanBook::LoanFraction(SlotNumber peer, TimePoint time) const {
  const auto found = m_loans.find(peer);
  return found == m_loans.end() ? 0 : LargestAt(found->second, time);
}

double LoanBook::TotalLoanFraction(TimePoint time) const {
  double total = 0;
  for (const auto& [peer, loans] : m_loans) {
    total += LargestAt(loans, time);
  }
  return total;
}

TimePoint LoanBook::NextExpiryAfter(TimePoint time) const {
  TimePoint next = TimePoint::max();
  for (const auto& [peer, loans] : m_loans) {
    for (const Loan& loan : loans) {
      if (loan.until > time) {
        next = std::min(next, loan.until);
      }
    }
  }
  return next;
}

void LoanBook::DropExpired(TimePoint time) {
  for (auto& [peer, loans] : m_loans) {
    std::erase_if(loans, [&](const Loan& loan) { return loan.until <= time; });
  }
  std::erase_if(m_loans, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace qh::limits
