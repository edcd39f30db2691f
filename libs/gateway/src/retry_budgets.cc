#include "quetzalhinge/gateway/retry_budgets.h"

#include <algorithm>

#include "quetzalhinge/base/hash.h"

namespace qh::gateway {
namespace {

/** Fraction of the slack that is divided among VMs; the rest covers VMs that join and leave. */
constexpr double kUsedSlackFraction = 0.8;

/** Fraction of the share that is used; the rest covers requests that end at a window boundary. */
constexpr double kUsedShareFraction = 0.9;

/** Number of VMs that is assumed until more are known. */
constexpr std::size_t kInitialVmCount = 20;

/** Returns a hash of the VM's name in [0, 1), which is distributed evenly over the VMs. */
double RankOf(const std::string& vm) {
  constexpr std::uint64_t kSteps = 10000;
  return static_cast<double>(HashBytes(vm) % kSteps) / static_cast<double>(kSteps);
}

}  // namespace

RetryBudgets::RetryBudgets(const RetryBudgetOptions& options, const std::string& vm)
    : m_options(options), m_rank(RankOf(vm)), m_vm_count(kInitialVmCount) {}

void RetryBudgets::SetOptions(const RetryBudgetOptions& options) {
  m_options = options;
  for (auto& [service, budget] : m_budgets) {
    budget.SetRetryShare(m_options.share * kUsedShareFraction);
    budget.SetCapacity(Capacity());
  }
}

void RetryBudgets::SetVmCount(std::size_t vm_count) {
  m_vm_count = std::max(m_vm_count, vm_count);
  SetOptions(m_options);
}

void RetryBudgets::OnFirstAttempt(const std::string& service) {
  BudgetOf(service).OnFirstAttempt();
}

bool RetryBudgets::TryTake(const std::string& service) { return BudgetOf(service).TryTake(); }

std::uint32_t RetryBudgets::Capacity() const noexcept {
  const double vm_share = m_options.slack * kUsedSlackFraction / static_cast<double>(m_vm_count);
  // If there is less than one retry per VM, only a fraction of the VMs may save one.
  return vm_share >= 1 ? static_cast<std::uint32_t>(vm_share) : m_rank < vm_share ? 1 : 0;
}

retries::RetryBudget& RetryBudgets::BudgetOf(const std::string& service) {
  return m_budgets
      .try_emplace(service, retries::RetryBudget(m_options.share * kUsedShareFraction, Capacity()))
      .first->second;
}

}  // namespace qh::gateway
