#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::limits {

/** A request of one VM to use part of another VM's share of a customer's contract. */
struct BorrowRequest {
  /** Random, so that a grant to an earlier process of the same slot matches no request. */
  std::uint64_t request_id = 0;
  SlotNumber borrower = 0;
  SlotNumber lender = 0;
  /** Wanted part of the whole contract, within (0, 1]. Replaces earlier requests, not added. */
  double fraction = 0;
  /** How long the borrower would use the loan, from when it sent this request. */
  Duration lifetime{};
};

/** The answer to a BorrowRequest. */
struct LoanGrant {
  std::uint64_t request_id = 0;
  SlotNumber borrower = 0;
  SlotNumber lender = 0;
  /** Lent part of the whole contract; 0 says that the lender has nothing to spare. */
  double fraction = 0;
};

}  // namespace qh::limits
