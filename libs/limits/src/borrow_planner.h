#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "loan_book.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/limits/rate_share_ledger.h"

namespace qh::limits {

/** A request that has been sent and has no response yet. */
struct PendingRequest {
  std::uint64_t request_id = 0;
  double fraction = 0;
  TimePoint sent;
};

/** Decides how much to borrow from which lender, and matches grants to pending requests. */
class BorrowPlanner {
 public:
  /**
   * @param lenders home slots other than the local one, in order of preference
   * @param base_share fraction of the contract that each home slot owns
   */
  BorrowPlanner(const RateShareOptions& options, std::vector<SlotNumber> lenders,
                double base_share);

  /**
   * Returns the requests to send now.
   * @param wanted fraction of the contract to borrow in total
   * @param received unexpired loans, counted towards `wanted`
   */
  std::vector<BorrowRequest> Plan(double wanted, const LoanBook& received, TimePoint now,
                                  RandomGenerator& generator);

  /**
   * Removes and returns the pending request to which `grant` responds. Returns std::nullopt if
   * there is none or its loan lifetime has passed.
   */
  std::optional<PendingRequest> PopPending(const LoanGrant& grant, TimePoint now);

 private:
  struct Lender {
    std::deque<PendingRequest> pending;
    std::optional<TimePoint> last_sent;
    /** Number of requests sent since the last response. */
    int unanswered_requests = 0;
    /** Whether the last response granted less than requested. */
    bool granted_less = false;
  };

  bool IsDue(const Lender& lender, bool satisfied, TimePoint now) const noexcept;
  BorrowRequest MakeRequest(SlotNumber slot, double fraction, TimePoint now,
                            RandomGenerator& generator);

  RateShareOptions m_options;
  std::vector<SlotNumber> m_lender_order;
  double m_base_share;
  std::map<SlotNumber, Lender> m_lenders;
};

}  // namespace qh::limits
