#include "quetzalhinge/limits/rate_share_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "borrow_planner.h"
#include "demand_estimate.h"
#include "lending_planner.h"
#include "loan_book.h"
#include "quetzalhinge/limits/token_bucket.h"

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// Factor on the measured demand when borrowing and lending, because it lags behind an increase.
constexpr double kHeadroomFactor = 1.25;
// Renewals that a borrower may miss before the part reserved for it is lent to others.
constexpr int kMaxMissedRenewals = 2;

/** Returns the lenders in an order that depends on the borrower, to distribute the requests. */
std::vector<SlotNumber> LenderOrder(const std::vector<SlotNumber>& homes,
                                    SlotNumber borrower_slot) {
  std::vector<SlotNumber> order = homes;
  const auto self = std::find(order.begin(), order.end(), borrower_slot);
  if (self != order.end()) {
    std::rotate(order.begin(), self, order.end());
    order.erase(order.begin());
  } else if (!order.empty()) {
    std::rotate(order.begin(), order.begin() + borrower_slot % order.size(), order.end());
  }
  return order;
}

}  // namespace

struct RateShareLedger::Impl {
  Impl(RateShareOptions ledger_options, ContractRate rate, TimePoint process_started,
       TimePoint start);

  double OwnFractionAt(TimePoint time) const;
  double UsableFractionAt(TimePoint time) const;
  double Capacity(double fraction) const noexcept;
  double DemandFraction(double requests_per_second) const noexcept;
  TimePoint Advance(TimePoint time);
  void ApplyShareAt(TimePoint time);

  RateShareOptions options;
  ContractRate contract;
  std::vector<SlotNumber> homes;
  /** Fraction of the contract that this slot owns; 0 if it is not a home slot. */
  double base_share = 0;
  /** Time from which on the slot's own share may be used. */
  TimePoint own_share_from;
  /** Loans granted to other VMs. */
  LoanBook granted_loans;
  /** Loans received from other VMs. */
  LoanBook received_loans;
  LendingPlanner lending_planner;
  BorrowPlanner borrow_planner;
  DemandEstimate demand;
  double in_progress_demand = 0;
  /** Maximum of in_progress_demand since the last plan, because it drops after each request. */
  double in_progress_peak = 0;
  TokenBucket bucket;
  /** Latest time passed to Advance(); never goes back. */
  TimePoint latest_time;
  /** The usable fraction from `latest_time` until `next_change`. */
  double usable_fraction = 0;
  /** Earliest time after `latest_time` at which the usable fraction changes without a message. */
  TimePoint next_change;
};

RateShareLedger::Impl::Impl(RateShareOptions ledger_options, ContractRate rate,
                            TimePoint process_started, TimePoint start)
    : options(std::move(ledger_options)),
      contract(rate),
      homes(HomeSlotsOf(options.customer, options.vm_count, options.home_slots)),
      own_share_from(process_started + options.loan_lifetime + options.loan_margin),
      lending_planner(options.renew_interval * kMaxMissedRenewals),
      borrow_planner(options, LenderOrder(homes, options.own_slot),
                     homes.empty() ? 0 : 1.0 / static_cast<double>(homes.size())),
      demand(start),
      bucket(0, 0, 0, start),
      latest_time(start) {
  if (std::find(homes.begin(), homes.end(), options.own_slot) != homes.end()) {
    base_share = 1.0 / static_cast<double>(homes.size());
  }
  // Tokens that the slot's own share has accumulated so far. A process that has just started has
  // none, because an earlier process of the same slot may have used them.
  const double accumulated_tokens = std::max(0.0, Seconds(start - own_share_from).count()) *
                                    base_share * contract.requests_per_second;
  bucket = TokenBucket(0, Capacity(UsableFractionAt(start)), accumulated_tokens, start);
  ApplyShareAt(start);
}

double RateShareLedger::Impl::OwnFractionAt(TimePoint time) const {
  return time < own_share_from ? 0
                               : std::max(0.0, base_share - granted_loans.TotalLoanFraction(time));
}

double RateShareLedger::Impl::UsableFractionAt(TimePoint time) const {
  return std::min(1.0, OwnFractionAt(time) + received_loans.TotalLoanFraction(time));
}

double RateShareLedger::Impl::Capacity(double fraction) const noexcept {
  if (fraction <= 0 && base_share <= 0) {
    return 0;
  }
  return std::max(1.0, contract.burst * fraction);
}

double RateShareLedger::Impl::DemandFraction(double requests_per_second) const noexcept {
  const double by_rate =
      contract.requests_per_second > 0 ? requests_per_second / contract.requests_per_second : 0;
  return std::min(1.0, kHeadroomFactor * std::max(by_rate, in_progress_peak));
}

/** Advances the bucket to `time`, applying each change of the share in order. */
TimePoint RateShareLedger::Impl::Advance(TimePoint time) {
  latest_time = std::max(latest_time, time);
  const bool changed = next_change <= latest_time;
  while (next_change <= latest_time) {
    ApplyShareAt(next_change);
  }
  if (changed) {
    granted_loans.DropExpired(latest_time);
    received_loans.DropExpired(latest_time);
  }
  return latest_time;
}

void RateShareLedger::Impl::ApplyShareAt(TimePoint time) {
  usable_fraction = UsableFractionAt(time);
  bucket.SetRate(contract.requests_per_second * usable_fraction, Capacity(usable_fraction), time);
  next_change = std::min(granted_loans.NextExpiryAfter(time), received_loans.NextExpiryAfter(time));
  if (own_share_from > time) {
    next_change = std::min(next_change, own_share_from);
  }
}

RateShareLedger::RateShareLedger(RateShareOptions options, ContractRate contract,
                                 TimePoint process_started, TimePoint now)
    : m_impl(std::make_unique<Impl>(std::move(options), contract, process_started, now)) {}

RateShareLedger::~RateShareLedger() = default;
RateShareLedger::RateShareLedger(RateShareLedger&&) noexcept = default;
RateShareLedger& RateShareLedger::operator=(RateShareLedger&&) noexcept = default;

bool RateShareLedger::TryTake(TimePoint now) {
  now = m_impl->Advance(now);
  m_impl->demand.Count(now);
  return m_impl->bucket.TryTake(1, now);
}

Duration RateShareLedger::RetryAfter(TimePoint now) {
  now = m_impl->Advance(now);
  return m_impl->bucket.TimeUntil(1, now).value_or(m_impl->options.request_interval);
}

void RateShareLedger::SetContract(ContractRate contract, TimePoint now) {
  now = m_impl->Advance(now);
  m_impl->contract = contract;
  m_impl->ApplyShareAt(now);
}

void RateShareLedger::SetInProgressDemand(double fraction) noexcept {
  m_impl->in_progress_demand = std::clamp(fraction, 0.0, 1.0);
  m_impl->in_progress_peak = std::max(m_impl->in_progress_peak, m_impl->in_progress_demand);
}

double RateShareLedger::UsableFraction(TimePoint now) {
  m_impl->Advance(now);
  return m_impl->usable_fraction;
}

double RateShareLedger::Demand(TimePoint now) const noexcept {
  return m_impl->demand.RecentRate(now);
}

std::vector<BorrowRequest> RateShareLedger::PlanRequests(TimePoint now,
                                                         RandomGenerator& generator) {
  now = m_impl->Advance(now);
  const double wanted = m_impl->DemandFraction(Demand(now)) - m_impl->OwnFractionAt(now);
  m_impl->in_progress_peak = m_impl->in_progress_demand;
  return m_impl->borrow_planner.Plan(wanted, m_impl->received_loans, now, generator);
}

std::optional<LoanGrant> RateShareLedger::OnRequest(const BorrowRequest& request, TimePoint now) {
  const RateShareOptions& options = m_impl->options;
  const bool valid = request.lender == options.own_slot && request.borrower != options.own_slot &&
                     request.borrower < options.vm_count && request.fraction > 0 &&
                     request.fraction <= 1 && request.lifetime > Duration(0) &&
                     request.lifetime <= options.loan_lifetime;
  if (!valid) {
    return std::nullopt;
  }
  now = m_impl->Advance(now);
  LoanGrant grant{request.request_id, request.borrower, request.lender, 0};
  if (const auto previous_fraction =
          m_impl->granted_loans.Find(request.borrower, request.request_id)) {
    grant.fraction = *previous_fraction;
    return grant;
  }
  if (m_impl->base_share <= 0 || now < m_impl->own_share_from) {
    return grant;
  }
  const double needed = m_impl->DemandFraction(m_impl->demand.ConservativeRate(now));
  const double spare = std::max(0.0, m_impl->base_share - needed);
  const double fraction = m_impl->lending_planner.FractionToLend(request, spare, m_impl->base_share,
                                                                 m_impl->granted_loans, now);
  const TimePoint until = now + request.lifetime + options.loan_margin;
  if (fraction > 0 &&
      m_impl->granted_loans.Add(request.borrower, Loan{request.request_id, fraction, until})) {
    grant.fraction = fraction;
    m_impl->ApplyShareAt(now);
  }
  return grant;
}

bool RateShareLedger::OnGrant(const LoanGrant& grant, TimePoint now) {
  if (grant.borrower != m_impl->options.own_slot || !(grant.fraction >= 0)) {
    return false;
  }
  now = m_impl->Advance(now);
  const auto pending = m_impl->borrow_planner.PopPending(grant, now);
  if (!pending || grant.fraction > pending->fraction) {
    return false;
  }
  const TimePoint until = pending->sent + m_impl->options.loan_lifetime;
  if (grant.fraction > 0 &&
      !m_impl->received_loans.Add(grant.lender, Loan{grant.request_id, grant.fraction, until})) {
    return false;
  }
  m_impl->ApplyShareAt(now);
  return true;
}

const std::vector<SlotNumber>& RateShareLedger::HomeSlots() const noexcept { return m_impl->homes; }

}  // namespace qh::limits
