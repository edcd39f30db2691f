#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "loan_book.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/limits/rate_share_ledger.h"

namespace qh::limits {

/** A request that was sent and not answered yet. */
struct PendingRequest {
  std::uint64_t request_id = 0;
  double fraction = 0;
  TimePoint sent;
};

/** Decides which lenders a VM asks for how much, and matches their answers. */
class BorrowPlanner {
 public:
  /** @param lenders home slots other than the own one, in the order in which to ask them */
  BorrowPlanner(const RateShareOptions& options, std::vector<SlotNumber> lenders, double base);

  /** Returns the requests that are due to borrow `wanted` in all, given what is held already. */
  std::vector<BorrowRequest> Plan(double wanted, const LoanBook& held, TimePoint now,
                                  RandomGenerator& generator);

  /** Returns the request that `grant` answers and forgets it; nothing if there is none. */
  std::optional<PendingRequest> TakePending(const LoanGrant& grant, TimePoint now);

 private:
  struct Lender {
    std::deque<PendingRequest> pending;
    std::optional<TimePoint> last_sent;
    /** Requests since the last answer. */
    int unanswered = 0;
    /** The last answer granted less than was asked for. */
    bool granted_less = false;
  };

  bool IsDue(const Lender& lender, bool satisfied, TimePoint now) const noexcept;
  BorrowRequest MakeRequest(SlotNumber slot, double fraction, TimePoint now,
                            RandomGenerator& generator);

  RateShareOptions m_options;
  std::vector<SlotNumber> m_order;
  double m_base;
  std::map<SlotNumber, Lender> m_lenders;
};

}  // namespace qh::limits
