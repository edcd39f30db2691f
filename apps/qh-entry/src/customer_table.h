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

/** One customer's limits at this VM. */
struct CustomerState {
  std::shared_ptr<const contract::Contract> contract;
  std::unique_ptr<limits::CustomerAdmission> admission;
  /** Budget for second attempts, by service. */
  std::map<std::string, retries::RetryBudget> retry_budgets;

  /** Returns the budget of `service`, made on first use. */
  retries::RetryBudget& BudgetOf(const std::string& service);
};

/** A request for a loan, to be sent to the entry VM at its lender slot. */
struct CustomerBorrowRequest {
  std::string customer;
  limits::BorrowRequest request;
};

/** The limits of all customers, derived from the contracts in force. */
class CustomerTable {
 public:
  CustomerTable(const vm_settings::EntryVmSettings& settings, TimePoint process_started);

  /**
   * Brings the table in line with `book`. State of a removed customer is kept, because a new ledger
   * for the same customer would forget its loans.
   */
  void Update(const contract::ContractBook& book, TimePoint now);

  /** Returns the state of `customer`, or null if it has no contract. Valid until Update(). */
  CustomerState* Find(const std::string& customer);

  /** Returns the requests for loans that are to be sent now. */
  std::vector<CustomerBorrowRequest> PlanRequests(TimePoint now, RandomGenerator& generator);

  /** Decides on another VM's request for a loan. */
  std::optional<limits::LoanGrant> Lend(const std::string& customer,
                                        const limits::BorrowRequest& request, TimePoint now);

  /** Takes a loan into use. */
  void OnGrant(const std::string& customer, const limits::LoanGrant& grant, TimePoint now);

  /** Returns how long after the start of the process its own shares may first be used. */
  static std::chrono::milliseconds WarmUp();

 private:
  limits::RateShareOptions OptionsFor(const std::string& customer) const;

  const vm_settings::EntryVmSettings& m_settings;
  TimePoint m_process_started;
  std::map<std::string, CustomerState> m_customers;
};

}  // namespace qh::entry
