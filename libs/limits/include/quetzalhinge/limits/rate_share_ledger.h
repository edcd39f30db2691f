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

/** Who this ledger belongs to and the times that rule its loans. */
struct RateShareOptions {
  std::string customer;
  SlotNumber own_slot = 0;
  /** Must be the same on all VMs, as must `home_slots`: the shares are derived from them. */
  SlotNumber vm_count = 1;
  SlotNumber home_slots = 12;
  /** A borrower stops using a loan this long after it sent the request. */
  Duration loan_lifetime = std::chrono::seconds(3);
  /**
   * A lender takes a loan back this much later. Covers monotonic clocks that run at different
   * speeds: 200 ms in 3 s is far more than any real drift.
   */
  Duration loan_margin = std::chrono::milliseconds(200);
  /** Time between requests to one lender while the loans do not cover the demand. */
  Duration request_interval = std::chrono::milliseconds(200);
  /** Time between requests to one lender that only renew a sufficient loan. */
  Duration renew_interval = std::chrono::seconds(1);
};

/** The rate of a contract. */
struct ContractRate {
  double requests_per_second = 0;
  double burst = 0;
};

/**
 * One VM's part of one customer's rate. Each home slot owns an equal part of the contract; parts
 * are lent between VMs for a short time. All parts are fractions of the contract, so the sum over
 * all VMs is at most 1 whatever messages are lost, delayed or repeated, whichever VM is paused, and
 * while VMs still hold different revisions of the contract.
 *
 * Why the sum holds: for each pair of lender and borrower, the lender sets aside the largest of its
 * unexpired grants from before it sends one, and the borrower uses at most the largest of the
 * grants that it received. Each grant ends at the borrower before it ends at the lender.
 *
 * Requests admitted by all VMs in a period are at most rate x period + burst + 1 for each VM with
 * a share (a VM's part of the burst is at least one request, or it could admit none).
 *
 * Every `now` must be read from the monotonic clock after the message or request that it goes with
 * arrived. A time that the event loop cached before a pause would let a lender take a loan back too
 * early. Change the contract with SetContract(): a new ledger for the same customer in the same
 * process forgets its loans and must not be made within loan_lifetime + loan_margin.
 */
class RateShareLedger {
 public:
  /**
   * @param process_started when this process started. Its own share is not used before
   *     process_started + loan_lifetime + loan_margin, because an earlier process of the same slot
   *     may have lent it; until then the ledger can only borrow.
   */
  RateShareLedger(RateShareOptions options, ContractRate contract, TimePoint process_started,
                  TimePoint now);
  ~RateShareLedger();
  RateShareLedger(RateShareLedger&&) noexcept;
  RateShareLedger& operator=(RateShareLedger&&) noexcept;

  /** Counts one request as demand and admits it if a token is there. */
  bool TryTake(TimePoint now);

  /**
   * Returns when a refused caller may usefully try again; with no rate at all, the time that
   * borrowing takes.
   */
  Duration RetryAfter(TimePoint now);

  /** Replaces rate and burst; loans stay valid, because they are fractions. */
  void SetContract(ContractRate contract, TimePoint now);

  /**
   * Tells the ledger which fraction of the contract's limit on requests in progress is wanted here,
   * so that it borrows for slow requests at a low rate too. Holds until the next call.
   */
  void SetInProgressDemand(double fraction) noexcept;

  /** Returns the fraction of the contract that this VM may use at `now`, within [0, 1]. */
  double UsableFraction(TimePoint now);

  /** Returns the estimated demand here in requests a second, refused ones included. */
  double Demand(TimePoint now) const noexcept;

  /**
   * Returns the requests to send now; empty if the share covers the demand. Call it every 50 to
   * 100 ms for customers with demand. At most one request for each home slot.
   * @param now read before the requests are sent; loans are counted from it
   */
  std::vector<BorrowRequest> PlanRequests(TimePoint now, RandomGenerator& generator);

  /**
   * Decides on another VM's request and lowers the own share before it returns. The same request
   * arriving twice gets the same answer.
   * @return the grant to send; nothing if the request is not for this slot or makes no sense
   */
  std::optional<LoanGrant> OnRequest(const BorrowRequest& request, TimePoint now);

  /** Takes a grant into use; returns false and does nothing if it is late, repeated or unknown. */
  bool OnGrant(const LoanGrant& grant, TimePoint now);

  /** Returns the customer's home slots, highest rank first. */
  const std::vector<SlotNumber>& HomeSlots() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::limits
