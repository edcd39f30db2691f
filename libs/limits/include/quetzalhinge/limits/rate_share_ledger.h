#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/home_slots.h"
#include "quetzalhinge/limits/share_messages.h"

namespace qh::limits {

/** Identity of a RateShareLedger and the timing of its loans. */
struct RateShareOptions {
  std::string customer;
  SlotNumber own_slot = 0;
  /** Must be equal on all VMs, as must `home_slots`, because the shares are derived from them. */
  SlotNumber vm_count = 1;
  SlotNumber home_slots = 12;
  /** Time after which a borrower stops using a loan, counted from sending the request. */
  Duration loan_lifetime = std::chrono::seconds(3);
  /**
   * Additional time after which the lender reclaims a loan. Covers monotonic clocks that run at
   * different rates: 200 ms in 3 s is far more than any real drift.
   */
  Duration loan_margin = std::chrono::milliseconds(200);
  /** Interval of requests to one lender while the loans do not cover the demand. */
  Duration request_interval = std::chrono::milliseconds(200);
  /** Interval of requests to one lender that only renew a sufficient loan. */
  Duration renew_interval = std::chrono::seconds(1);
};

/** The rate and burst of a contract, over all VMs. */
struct ContractRate {
  double requests_per_second = 0;
  /** Number of requests that may arrive at once above the rate. */
  double burst = 0;
};

/**
 * The share of one VM in the rate of one customer. Each home slot owns an equal share of the
 * contract, and VMs lend each other parts of their shares for a short time. Shares are fractions of
 * the contract. Their sum over all VMs is at most 1 even if messages are lost, delayed or
 * duplicated, VMs are paused, or VMs have different revisions of the contract.
 *
 * The invariant holds for each pair of lender and borrower: before the lender sends a grant, it
 * reserves the largest of its unexpired grants, and the borrower uses at most the largest of the
 * grants that it received. Each grant expires at the borrower before it expires at the lender.
 *
 * In any period, all VMs together admit at most rate x period + burst requests, plus 1 request for
 * each VM with a share: the burst of a VM is at least one request, or it could not admit any.
 *
 * Each `now` must be read from the monotonic clock after the arrival of the message or request that
 * it belongs to. With a time that the event loop cached before a pause, a lender could reclaim a
 * loan too early. Use SetContract() to change the contract. A new ledger for the same customer in
 * the same process has no record of its loans and must not be created within loan_lifetime +
 * loan_margin.
 */
class RateShareLedger {
 public:
  /**
   * @param process_started start time of this process. The slot's own share is not used before
   *     process_started + loan_lifetime + loan_margin, because an earlier process of the same slot
   *     may have lent it; until then the ledger can only borrow.
   */
  RateShareLedger(RateShareOptions options, ContractRate contract, TimePoint process_started,
                  TimePoint now);
  ~RateShareLedger();
  RateShareLedger(RateShareLedger&&) noexcept;
  RateShareLedger& operator=(RateShareLedger&&) noexcept;

  /** Counts one request as demand; admits it and returns true if a token is available. */
  bool TryTake(TimePoint now);

  /**
   * Returns the time after which a refused request may be retried, that is until a token is
   * available. If the rate of this VM is 0, returns the time that borrowing takes.
   */
  Duration RetryAfter(TimePoint now);

  /** Replaces rate and burst. Loans remain valid because they are fractions of the contract. */
  void SetContract(ContractRate contract, TimePoint now);

  /**
   * Sets the demand for requests in progress at this VM as a fraction of the contract's limit, so
   * that the ledger also borrows for slow requests at a low rate. Applies until the next call.
   */
  void SetInProgressDemand(double fraction) noexcept;

  /** Returns the fraction of the contract that this VM may use at `now`, within [0, 1]. */
  double UsableFraction(TimePoint now);

  /** Returns the estimated demand at this VM in requests per second, including refused ones. */
  double Demand(TimePoint now) const noexcept;

  /**
   * Returns the requests to send now, at most one for each home slot; empty if the share covers the
   * demand. Call it every 50 to 100 ms for customers with demand.
   * @param now read before the requests are sent; the loan lifetime starts at it
   */
  std::vector<BorrowRequest> PlanRequests(TimePoint now, RandomGenerator& generator);

  /**
   * Handles another VM's request. The share of this VM is reduced before the function returns.
   * While the loan for a request is recorded, a duplicate of the request gets the same grant.
   * @return the grant to send; std::nullopt if the request is invalid or not for this slot
   */
  std::optional<LoanGrant> OnRequest(const BorrowRequest& request, TimePoint now);

  /** Applies a grant. Ignores it and returns false if it is late, duplicate, invalid or unknown. */
  bool OnGrant(const LoanGrant& grant, TimePoint now);

  /** Returns the customer's home slots, highest rank first. */
  const std::vector<SlotNumber>& HomeSlots() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::limits
