#pragma once

#include <map>

#include "loan_book.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/share_messages.h"

namespace qh::limits {

/** Divides the spare share of a VM between the VMs that request loans. */
class LendingPlanner {
 public:
  /** @param request_retention how long a borrower's latest request reserves a part for it */
  explicit LendingPlanner(Duration request_retention) noexcept
      : m_request_retention(request_retention) {}

  /**
   * Returns the fraction of the contract to lend for `request`; 0 if none.
   * @param spare fraction that this VM does not need itself, including the loans already granted
   * @param base_share fraction that this VM owns; the sum of the loans never exceeds it
   * @param granted_loans unexpired loans that this VM has granted
   */
  double FractionToLend(const BorrowRequest& request, double spare, double base_share,
                        const LoanBook& granted_loans, TimePoint now);

 private:
  /** The latest request of a borrower. */
  struct LatestRequest {
    double fraction = 0;
    TimePoint received_at;
  };

  Duration m_request_retention;
  std::map<SlotNumber, LatestRequest> m_latest_requests;
};

}  // namespace qh::limits
