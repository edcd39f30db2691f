#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "quetzalhinge/retries/retry_budget.h"

namespace qh::gateway {

/** Limits on the retries of all VMs together. */
struct RetryBudgetOptions {
  /** Retries as a share of the requests for a service. */
  double share = 0.2;
  /** Number of retries allowed beyond the share in any window, over all VMs. */
  double slack = 10;
};

/**
 * The retry budgets of this VM, one token bucket for each service. The first attempts of a VM earn
 * tokens, and each VM saves at most its part of the slack. So the retries of all VMs together stay
 * within the limit in any window, without communication between VMs.
 */
class RetryBudgets {
 public:
  /**
   * @param vm name of this VM. If the slack is smaller than the number of VMs, it determines
   * whether this VM may save a token.
   */
  RetryBudgets(const RetryBudgetOptions& options, const std::string& vm);

  /** Replaces the options. */
  void SetOptions(const RetryBudgetOptions& options);

  /**
   * Sets the number of VMs among which the slack is divided. A lower number than before is ignored,
   * because a VM whose heartbeats are missing may still have saved its part.
   */
  void SetVmCount(std::size_t vm_count);

  /** Counts the first attempt of a request for `service`. */
  void OnFirstAttempt(const std::string& service);

  /** Takes one retry from the budget of `service`; returns false if the budget is exhausted. */
  bool TryTake(const std::string& service);

 private:
  std::uint32_t Capacity() const noexcept;
  retries::RetryBudget& BudgetOf(const std::string& service);

  RetryBudgetOptions m_options;
  /** Hash of the VM's name, scaled to [0, 1). */
  double m_rank;
  std::size_t m_vm_count;
  std::map<std::string, retries::RetryBudget> m_budgets;
};

}  // namespace qh::gateway
