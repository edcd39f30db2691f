#include "quetzalhinge/retries/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace qh::retries {
namespace {

// One token in the units in which the budget counts. Integer millionths, because ten additions of
// 0.1 must give exactly one token, which they do not in floating point.
constexpr std::int64_t kTokenUnits = 1000000;

std::int64_t UnitsPerAttempt(double retry_share) noexcept {
  const double share = retry_share > 0 ? std::min(1.0, retry_share) : 0;
  return std::llround(share * static_cast<double>(kTokenUnits));
}

}  // namespace

RetryBudget::RetryBudget(double retry_share, std::uint32_t capacity) noexcept
    : m_units_per_attempt(UnitsPerAttempt(retry_share)), m_capacity_units(capacity * kTokenUnits) {}

void RetryBudget::OnFirstAttempt() noexcept {
  m_units = std::min(m_capacity_units, m_units + m_units_per_attempt);
}

bool RetryBudget::TryTake() noexcept {
  if (m_units < kTokenUnits) {
    return false;
  }
  m_units -= kTokenUnits;
  return true;
}

void RetryBudget::SetRetryShare(double retry_share) noexcept {
  m_units_per_attempt = UnitsPerAttempt(retry_share);
}

void RetryBudget::SetCapacity(std::uint32_t capacity) noexcept {
  m_capacity_units = capacity * kTokenUnits;
  m_units = std::min(m_units, m_capacity_units);
}

std::uint32_t RetryBudget::TokensLeft() const noexcept {
  return static_cast<std::uint32_t>(m_units / kTokenUnits);
}

}  // namespace qh::retries
