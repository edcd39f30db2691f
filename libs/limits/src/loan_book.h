#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::limits {

/** A part of the contract that counts until a time. */
struct Loan {
  std::uint64_t request_id = 0;
  double fraction = 0;
  TimePoint until;
};

/**
 * Loans by peer: a lender's book holds what it set aside for each borrower, a borrower's book what
 * it may use from each lender. Loans of one peer do not add up: the largest one counts.
 */
class LoanBook {
 public:
  /**
   * Adds a loan. Drops loans of the peer that it makes meaningless, and is itself dropped if it is.
   * @return false if the peer has too many different loans already; nothing changes then
   */
  bool Add(SlotNumber peer, const Loan& loan);

  /** Returns the fraction of the loan for `request_id`, if it is still in the book. */
  std::optional<double> Find(SlotNumber peer, std::uint64_t request_id) const;

  /** Returns what counts for `peer` at `time`. */
  double Of(SlotNumber peer, TimePoint time) const;

  /** Returns the sum over all peers at `time`. */
  double Total(TimePoint time) const;

  /** Returns the first time after `time` at which a loan ends, or TimePoint::max(). */
  TimePoint NextEndAfter(TimePoint time) const;

  /** Forgets loans that have ended at `time`. */
  void DropEnded(TimePoint time);

 private:
  std::map<SlotNumber, std::vector<Loan>> m_loans;
};

}  // namespace qh::limits
