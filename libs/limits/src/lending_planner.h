#pragma once

#include <map>

#include "loan_book.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/share_messages.h"

namespace qh::limits {

/** Divides what a VM can spare between the VMs that ask for it. */
class LendingPlanner {
 public:
  /** @param ask_memory how long a borrower counts as waiting after its last request */
  explicit LendingPlanner(Duration ask_memory) noexcept : m_ask_memory(ask_memory) {}

  /**
   * Returns what to lend for `request`, 0 if nothing.
   * @param spare what the VM does not need itself, loans already given included
   * @param base the VM's whole share, which the loans never exceed
   */
  double Decide(const BorrowRequest& request, double spare, double base, const LoanBook& lent,
                TimePoint now);

 private:
  struct Ask {
    double fraction = 0;
    TimePoint at;
  };

  Duration m_ask_memory;
  std::map<SlotNumber, Ask> m_asks;
};

}  // namespace qh::limits
