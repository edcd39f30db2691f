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

// Share kept or asked for above the measured demand, which lags behind a rise.
constexpr double kHeadroom = 1.25;
// How many renewals a borrower may miss before the others get the part kept for it.
constexpr int kRenewalsRemembered = 2;

/** Returns the lenders in an order that differs between borrowers, so that all are asked alike. */
std::vector<SlotNumber> LenderOrder(const std::vector<SlotNumber>& homes, SlotNumber own) {
  std::vector<SlotNumber> order = homes;
  const auto self = std::find(order.begin(), order.end(), own);
  if (self != order.end()) {
    std::rotate(order.begin(), self, order.end());
    order.erase(order.begin());
  } else if (!order.empty()) {
    std::rotate(order.begin(), order.begin() + own % order.size(), order.end());
  }
  return order;
}

}  // namespace

struct RateShareLedger::Impl {
  Impl(RateShareOptions given, ContractRate rate, TimePoint process_started, TimePoint start);

  double OwnFraction(TimePoint time) const;
  double Fraction(TimePoint time) const;
  double Capacity(double fraction) const noexcept;
  double DemandFraction(double requests_per_second) const noexcept;
  TimePoint Advance(TimePoint time);
  void ApplyShareAt(TimePoint time);

  RateShareOptions options;
  ContractRate contract;
  std::vector<SlotNumber> homes;
  /** The slot's own part of the contract, 0 if it is no home slot. */
  double base = 0;
  /** From when on the own part may be used. */
  TimePoint own_from;
  LoanBook lent;
  LoanBook held;
  LendingPlanner lending;
  BorrowPlanner borrowing;
  DemandEstimate demand;
  double in_progress_demand = 0;
  /** Largest demand since the last plan: it falls with each finished request and rises again. */
  double in_progress_peak = 0;
  TokenBucket bucket;
  TimePoint now;
  /** The usable fraction from `now` until `next_change`. */
  double usable = 0;
  /** First time after `now` at which the usable fraction changes by itself. */
  TimePoint next_change;
};

RateShareLedger::Impl::Impl(RateShareOptions given, ContractRate rate, TimePoint process_started,
                            TimePoint start)
    : options(std::move(given)),
      contract(rate),
      homes(HomeSlotsOf(options.customer, options.vm_count, options.home_slots)),
      own_from(process_started + options.loan_lifetime + options.loan_margin),
      lending(options.renew_interval * kRenewalsRemembered),
      borrowing(options, LenderOrder(homes, options.own_slot),
                homes.empty() ? 0 : 1.0 / static_cast<double>(homes.size())),
      demand(start),
      bucket(0, 0, 0, start),
      now(start) {
  if (std::find(homes.begin(), homes.end(), options.own_slot) != homes.end()) {
    base = 1.0 / static_cast<double>(homes.size());
  }
  // Tokens that the own share would have collected so far; a process that has just started has
  // none, because an earlier process of its slot may have spent them.
  const double collected =
      std::max(0.0, Seconds(start - own_from).count()) * base * contract.requests_per_second;
  bucket = TokenBucket(0, Capacity(Fraction(start)), collected, start);
  ApplyShareAt(start);
}

double RateShareLedger::Impl::OwnFraction(TimePoint time) const {
  return time < own_from ? 0 : std::max(0.0, base - lent.Total(time));
}

double RateShareLedger::Impl::Fraction(TimePoint time) const {
  return std::min(1.0, OwnFraction(time) + held.Total(time));
}

double RateShareLedger::Impl::Capacity(double fraction) const noexcept {
  if (fraction <= 0 && base <= 0) {
    return 0;
  }
  return std::max(1.0, contract.burst * fraction);
}

double RateShareLedger::Impl::DemandFraction(double requests_per_second) const noexcept {
  const double by_rate =
      contract.requests_per_second > 0 ? requests_per_second / contract.requests_per_second : 0;
  return std::min(1.0, kHeadroom * std::max(by_rate, in_progress_peak));
}

/** Brings the bucket up to `time`, one change of the share after the other. */
TimePoint RateShareLedger::Impl::Advance(TimePoint time) {
  now = std::max(now, time);
  const bool changed = next_change <= now;
  while (next_change <= now) {
    ApplyShareAt(next_change);
  }
  if (changed) {
    lent.DropEnded(now);
    held.DropEnded(now);
  }
  return now;
}

void RateShareLedger::Impl::ApplyShareAt(TimePoint time) {
  usable = Fraction(time);
  bucket.SetRate(contract.requests_per_second * usable, Capacity(usable), time);
  next_change = std::min(lent.NextEndAfter(time), held.NextEndAfter(time));
  if (own_from > time) {
    next_change = std::min(next_change, own_from);
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
  return m_impl->usable;
}

double RateShareLedger::Demand(TimePoint now) const noexcept { return m_impl->demand.Recent(now); }

std::vector<BorrowRequest> RateShareLedger::PlanRequests(TimePoint now,
                                                         RandomGenerator& generator) {
  now = m_impl->Advance(now);
  const double wanted = m_impl->DemandFraction(Demand(now)) - m_impl->OwnFraction(now);
  m_impl->in_progress_peak = m_impl->in_progress_demand;
  return m_impl->borrowing.Plan(wanted, m_impl->held, now, generator);
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
  if (const auto earlier = m_impl->lent.Find(request.borrower, request.request_id)) {
    grant.fraction = *earlier;
    return grant;
  }
  if (m_impl->base <= 0 || now < m_impl->own_from) {
    return grant;
  }
  const double needed = m_impl->DemandFraction(m_impl->demand.Cautious(now));
  const double spare = std::max(0.0, m_impl->base - needed);
  const double fraction = m_impl->lending.Decide(request, spare, m_impl->base, m_impl->lent, now);
  const TimePoint until = now + request.lifetime + options.loan_margin;
  if (fraction > 0 &&
      m_impl->lent.Add(request.borrower, Loan{request.request_id, fraction, until})) {
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
  const auto pending = m_impl->borrowing.TakePending(grant, now);
  if (!pending || grant.fraction > pending->fraction) {
    return false;
  }
  const TimePoint until = pending->sent + m_impl->options.loan_lifetime;
  if (grant.fraction > 0 &&
      !m_impl->held.Add(grant.lender, Loan{grant.request_id, grant.fraction, until})) {
    return false;
  }
  m_impl->ApplyShareAt(now);
  return true;
}

const std::vector<SlotNumber>& RateShareLedger::HomeSlots() const noexcept { return m_impl->homes; }

}  // namespace qh::limits
