#include "customer_table.h"

#include <utility>

namespace qh::entry {
namespace {

limits::CustomerLimits LimitsOf(const contract::Contract& contract) {
  limits::CustomerLimits customer_limits;
  customer_limits.rate = {contract.limits.requests_per_second,
                          static_cast<double>(contract.limits.burst)};
  customer_limits.requests_in_progress =
      static_cast<std::uint32_t>(contract.limits.requests_in_progress);
  return customer_limits;
}

}  // namespace

retries::RetryBudget& CustomerState::BudgetOf(const std::string& service) {
  return retry_budgets.try_emplace(service, contract->limits.retry_share).first->second;
}

CustomerTable::CustomerTable(const vm_settings::EntryVmSettings& settings,
                             TimePoint process_started)
    : m_settings(settings), m_process_started(process_started) {}

void CustomerTable::Update(const contract::ContractBook& book, TimePoint now) {
  for (auto& [customer, state] : m_customers) {
    if (book.Find(customer) == nullptr) {
      state.contract = nullptr;
    }
  }
  for (const std::string& customer : book.Customers()) {
    CustomerState& state = m_customers[customer];
    std::shared_ptr<const contract::Contract> contract = book.Find(customer);
    if (state.contract == contract) {
      continue;
    }
    state.contract = std::move(contract);
    const limits::CustomerLimits customer_limits = LimitsOf(*state.contract);
    if (state.admission == nullptr) {
      state.admission = std::make_unique<limits::CustomerAdmission>(
          OptionsFor(customer), customer_limits, m_process_started, now);
    } else {
      state.admission->SetLimits(customer_limits, now);
    }
    for (auto& [service, budget] : state.retry_budgets) {
      budget.SetRetryShare(state.contract->limits.retry_share);
    }
  }
}

CustomerState* CustomerTable::Find(const std::string& customer) {
  const auto found = m_customers.find(customer);
  return found == m_customers.end() || found->second.contract == nullptr ? nullptr : &found->second;
}

std::vector<CustomerBorrowRequest> CustomerTable::PlanRequests(TimePoint now,
                                                               RandomGenerator& generator) {
  std::vector<CustomerBorrowRequest> requests;
  for (auto& [customer, state] : m_customers) {
    if (state.contract == nullptr) {
      continue;
    }
    for (const limits::BorrowRequest& request :
         state.admission->Shares().PlanRequests(now, generator)) {
      requests.push_back({customer, request});
    }
  }
  return requests;
}

std::optional<limits::LoanGrant> CustomerTable::Lend(const std::string& customer,
                                                     const limits::BorrowRequest& request,
                                                     TimePoint now) {
  CustomerState* state = Find(customer);
  return state == nullptr ? std::nullopt : state->admission->Shares().OnRequest(request, now);
}

void CustomerTable::OnGrant(const std::string& customer, const limits::LoanGrant& grant,
                            TimePoint now) {
  if (CustomerState* state = Find(customer)) {
    state->admission->Shares().OnGrant(grant, now);
  }
}

std::chrono::milliseconds CustomerTable::WarmUp() {
  const limits::RateShareOptions defaults;
  return std::chrono::ceil<std::chrono::milliseconds>(defaults.loan_lifetime +
                                                      defaults.loan_margin);
}

limits::RateShareOptions CustomerTable::OptionsFor(const std::string& customer) const {
  limits::RateShareOptions options;
  options.customer = customer;
  options.own_slot = static_cast<limits::SlotNumber>(m_settings.slot);
  options.vm_count = static_cast<limits::SlotNumber>(m_settings.vm_count);
  options.home_slots = static_cast<limits::SlotNumber>(m_settings.home_slots);
  return options;
}

}  // namespace qh::entry
