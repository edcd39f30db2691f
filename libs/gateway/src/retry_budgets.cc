#include "quetzalhinge/gateway/retry_budgets.h"

#include <algorithm>

#include "quetzalhinge/base/hash.h"

namespace qh::gateway {
namespace {

/** Part of the slack that is divided; the rest covers VMs that come and go. */
constexpr double kUsedSlackFraction = 0.8;

/** Part of the share that is earned; the rest covers requests that end at the edge of a window. */
constexpr double kUsedShareFraction = 0.9;

/** VMs that are assumed until more are heard of. */
constexpr std::size_t kInitialVmCount = 20;

/** Returns a number from 0 to 1 that is spread evenly over the VMs. */
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
  // With less than one repeat for each VM only a part of the VMs may save one up.
  return vm_share >= 1 ? static_cast<std::uint32_t>(vm_share) : m_rank < vm_share ? 1 : 0;
}

retries::RetryBudget& RetryBudgets::BudgetOf(const std::string& service) {
  return m_budgets
      .try_emplace(service, retries::RetryBudget(m_options.share * kUsedShareFraction, Capacity()))
      .first->second;
}

}  // namespace qh::gateway
