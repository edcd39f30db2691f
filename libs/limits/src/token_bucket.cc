#include "quetzalhinge/limits/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qh::limits {
namespace {

using Seconds = std::chrono::duration<double>;

// Tolerance for rounding errors: the sum of many small fills may fall short of a whole token.
constexpr double kRoundingTokens = 1e-9;
// Upper bound of TimeUntil(), which also keeps the conversion to Duration in range.
constexpr double kMaxWaitSeconds = 3600;

}  // namespace

TokenBucket::TokenBucket(double tokens_per_second, double capacity, double tokens,
                         TimePoint now) noexcept
    : m_tokens_per_second(tokens_per_second),
      m_capacity(capacity),
      m_tokens(std::min(tokens, capacity)),
      m_filled_until(now) {}

void TokenBucket::SetRate(double tokens_per_second, double capacity, TimePoint now) noexcept {
  Fill(now);
  m_tokens_per_second = tokens_per_second;
  m_capacity = capacity;
  m_tokens = std::min(m_tokens, capacity);
}

bool TokenBucket::TryTake(double amount, TimePoint now) noexcept {
  Fill(now);
  if (m_tokens + kRoundingTokens < amount) {
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - amount);
  return true;
}

std::optional<Duration> TokenBucket::TimeUntil(double amount, TimePoint now) noexcept {
  Fill(now);
  if (m_tokens + kRoundingTokens >= amount) {
    return Duration(0);
  }
  if (m_capacity + kRoundingTokens < amount || m_tokens_per_second <= 0) {
    return std::nullopt;
  }
  const double seconds = std::min(kMaxWaitSeconds, (amount - m_tokens) / m_tokens_per_second);
  return std::chrono::ceil<Duration>(Seconds(seconds));
}

double TokenBucket::Tokens(TimePoint now) noexcept {
  Fill(now);
  return m_tokens;
}

void TokenBucket::Fill(TimePoint now) noexcept {
  if (now <= m_filled_until) {
    return;
  }
  const double added = m_tokens_per_second * Seconds(now - m_filled_until).count();
  m_tokens = std::min(m_capacity, m_tokens + added);
  m_filled_until = now;
}

}  // namespace qh::limits
