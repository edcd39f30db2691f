#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::limits {

/** A fraction of the contract that is lent until a point in time. */
struct Loan {
  std::uint64_t request_id = 0;
  double fraction = 0;
  TimePoint until;
};

/**
 * Loans by peer. A lender records the loans that it granted to each borrower, a borrower the loans
 * that it received from each lender. Loans of one peer are not added up: the largest one applies.
 */
class LoanBook {
 public:
  /**
   * Adds a loan and removes loans of the peer that it supersedes (not larger and not ending later).
   * A loan that is itself superseded is not stored.
   * @return false if the maximum number of loans of the peer is reached; the book is unchanged then
   */
  bool Add(SlotNumber peer, const Loan& loan);

  /** Returns the fraction of the loan for `request_id`, or std::nullopt if it is not stored. */
  std::optional<double> Find(SlotNumber peer, std::uint64_t request_id) const;

  /** Returns the fraction lent to or by `peer` at `time`. */
  double LoanFraction(SlotNumber peer, TimePoint time) const;

  /** Returns the sum of the fractions of all peers at `time`. */
  double TotalLoanFraction(TimePoint time) const;

  /** Returns the earliest expiry of a loan after `time`, or TimePoint::max() if there is none. */
  TimePoint NextExpiryAfter(TimePoint time) const;

  /** Removes the loans that have expired at `time`. */
  void DropExpired(TimePoint time);

 private:
  std::map<SlotNumber, std::vector<Loan>> m_loans;
};

}  // namespace qh::limits
