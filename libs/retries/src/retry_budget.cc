#include "quetzalhinge/retries/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace qh::retries {
namespace {

// Tokens are counted in whole millionths: ten times 0.1 must make one token, which it does not in
// floating point.
constexpr std::int64_t kToken = 1000000;

std::int64_t EarnedPerAttempt(double retry_share) noexcept {
  const double share = retry_share > 0 ? std::min(1.0, retry_share) : 0;
  return std::llround(share * static_cast<double>(kToken));
}

}  // namespace

RetryBudget::RetryBudget(double retry_share, std::uint32_t capacity) noexcept
    : m_earned_per_attempt(EarnedPerAttempt(retry_share)), m_capacity(capacity * kToken) {}

void RetryBudget::OnFirstAttempt() noexcept {
  m_tokens = std::min(m_capacity, m_tokens + m_earned_per_attempt);
}

bool RetryBudget::TryTake() noexcept {
  if (m_tokens < kToken) {
    return false;
  }
  m_tokens -= kToken;
  return true;
}

void RetryBudget::SetRetryShare(double retry_share) noexcept {
  m_earned_per_attempt = EarnedPerAttempt(retry_share);
}

void RetryBudget::SetCapacity(std::uint32_t capacity) noexcept {
  m_capacity = capacity * kToken;
  m_tokens = std::min(m_tokens, m_capacity);
}

std::uint32_t RetryBudget::TokensLeft() const noexcept {
  return static_cast<std::uint32_t>(m_tokens / kToken);
}

}  // namespace qh::retries
