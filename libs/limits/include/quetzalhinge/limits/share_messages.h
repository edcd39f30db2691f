#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::limits {

/** A request to borrow part of another VM's share of a customer's contract. */
struct BorrowRequest {
  /** Random, so that a grant for an earlier process of the same slot matches no request. */
  std::uint64_t request_id = 0;
  SlotNumber borrower = 0;
  SlotNumber lender = 0;
  /** Requested fraction of the contract, within (0, 1]. Replaces earlier requests, not added. */
  double fraction = 0;
  /** How long the borrower uses the loan, counted from sending this request. */
  Duration lifetime{};
};

/** The response to a BorrowRequest. */
struct LoanGrant {
  std::uint64_t request_id = 0;
  SlotNumber borrower = 0;
  SlotNumber lender = 0;
  /** Granted fraction of the contract; 0 if the lender has no spare share. */
  double fraction = 0;
};

}  // namespace qh::limits
