#include "loan_book.h"

#include <algorithm>

namespace qh::limits {
namespace {

// A borrower asks a lender at most every 200 ms and a loan counts for 3.2 s: 16 loans are enough
// even if each is smaller than the one before.
constexpr std::size_t kMostLoansPerPeer = 16;

bool Covers(const Loan& a, const Loan& b) noexcept {
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
  const auto covers_new = [&](const Loan& old) { return Covers(old, loan); };
  if (std::any_of(loans.begin(), loans.end(), covers_new)) {
    return true;
  }
  std::erase_if(loans, [&](const Loan& old) { return Covers(loan, old); });
  if (loans.size() >= kMostLoansPerPeer) {
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

double LoanBook::Of(SlotNumber peer, TimePoint time) const {
  const auto found = m_loans.find(peer);
  return found == m_loans.end() ? 0 : LargestAt(found->second, time);
}

double LoanBook::Total(TimePoint time) const {
  double total = 0;
  for (const auto& [peer, loans] : m_loans) {
    total += LargestAt(loans, time);
  }
  return total;
}

TimePoint LoanBook::NextEndAfter(TimePoint time) const {
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

void LoanBook::DropEnded(TimePoint time) {
  for (auto& [peer, loans] : m_loans) {
    std::erase_if(loans, [&](const Loan& loan) { return loan.until <= time; });
  }
  std::erase_if(m_loans, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace qh::limits
