#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "quetzalhinge/retries/retry_budget.h"

namespace qh::gateway {

/** How many repeats all VMs together may send. */
struct RetryBudgetOptions {
  /** Repeats as a share of the requests for a service. */
  double share = 0.2;
  /** Repeats beyond the share in any window, over all VMs. */
  double slack = 10;
};

/**
 * The retry budgets of this VM, one for each service. Each VM earns repeats with its own requests
 * and saves up no more than its part of the slack, so that the sum over all VMs keeps the bound in
 * any window, without a message between them.
 */
class RetryBudgets {
 public:
  /** @param vm name of this VM; decides whether it saves up where not every VM may */
  RetryBudgets(const RetryBudgetOptions& options, const std::string& vm);

  /** Applies other options. */
  void SetOptions(const RetryBudgetOptions& options);

  /** Sets over how many VMs the slack is divided. Never fewer than before: a VM that is not heard
   * from may still have saved its part. */
  void SetVmCount(std::size_t vm_count);

  /** Counts a request for `service`. */
  void OnFirstAttempt(const std::string& service);

  /** Takes a repeat for `service`; returns false if there is none left. */
  bool TryTake(const std::string& service);

 private:
  std::uint32_t Capacity() const noexcept;
  retries::RetryBudget& BudgetOf(const std::string& service);

  RetryBudgetOptions m_options;
  /** Where this VM stands among all, from 0 to 1. */
  double m_rank;
  std::size_t m_vm_count;
  std::map<std::string, retries::RetryBudget> m_budgets;
};

}  // namespace qh::gateway
