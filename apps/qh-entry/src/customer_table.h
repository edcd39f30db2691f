#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/limits/customer_admission.h"
#include "quetzalhinge/retries/retry_budget.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

/** Limits and retry budgets of one customer at this VM. */
struct CustomerState {
  /** Contract in force; null if the customer was removed. */
  std::shared_ptr<const contract::Contract> contract;
  std::unique_ptr<limits::CustomerAdmission> admission;
  /** Budgets for retries and hedges, by service. */
  std::map<std::string, retries::RetryBudget> retry_budgets;

  /** Returns the budget of `service`; created on first use. */
  retries::RetryBudget& BudgetOf(const std::string& service);
};

/** A request for a loan, to be sent to the entry VM in the lender slot. */
struct CustomerBorrowRequest {
  std::string customer;
  limits::BorrowRequest request;
};

/** The limits of all customers, derived from the contracts in force. */
class CustomerTable {
 public:
  CustomerTable(const vm_settings::EntryVmSettings& settings, TimePoint process_started);

  /**
   * Updates the limits to the contracts in `book`. The state of a removed customer is retained: if
   * the customer is added again, a new ledger would have no record of its loans.
   */
  void Update(const contract::ContractBook& book, TimePoint now);

  /** Returns the state of `customer`, or null if it has no contract. Valid until Update(). */
  CustomerState* Find(const std::string& customer);

  /** Returns the loan requests that are due now. */
  std::vector<CustomerBorrowRequest> PlanRequests(TimePoint now, RandomGenerator& generator);

  /** Decides on another VM's request for a loan. */
  std::optional<limits::LoanGrant> Lend(const std::string& customer,
                                        const limits::BorrowRequest& request, TimePoint now);

  /** Applies a loan that another VM has granted. */
  void OnGrant(const std::string& customer, const limits::LoanGrant& grant, TimePoint now);

  /**
   * Returns the time from the start of the process until this VM may use its own shares. Until
   * then, an earlier process of the same slot may have lent them.
   */
  static std::chrono::milliseconds WarmUp();

 private:
  limits::RateShareOptions OptionsFor(const std::string& customer) const;

  const vm_settings::EntryVmSettings& m_settings;
  TimePoint m_process_started;
  std::map<std::string, CustomerState> m_customers;
};

}  // namespace qh::entry
