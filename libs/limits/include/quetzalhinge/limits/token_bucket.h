#pragma once

#include <optional>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/**
 * Token bucket whose rate and capacity may change. In any period it issues at most the tokens that
 * it has at the start plus the integral of the rate over the period. A time before the latest one
 * passed to the bucket is treated as the latest one.
 */
class TokenBucket {
 public:
  /**
   * @param tokens_per_second fill rate, at least 0
   * @param capacity maximum number of tokens, at least 0
   * @param tokens number of tokens at `now`, limited to `capacity`
   */
  TokenBucket(double tokens_per_second, double capacity, double tokens, TimePoint now) noexcept;

  /**
   * Changes rate and capacity from `now` on. Tokens up to `now` accrue at the old rate; the change
   * itself never adds tokens.
   */
  void SetRate(double tokens_per_second, double capacity, TimePoint now) noexcept;

  /**
   * Consumes `amount` tokens and returns true. If fewer are available, consumes none and returns
   * false.
   */
  bool TryTake(double amount, TimePoint now) noexcept;

  /**
   * Returns the time until `amount` tokens are available, 0 if they are available now. Returns
   * std::nullopt if they never will be with the current rate and capacity.
   */
  std::optional<Duration> TimeUntil(double amount, TimePoint now) noexcept;

  /** Returns the number of tokens available at `now`. */
  double Tokens(TimePoint now) noexcept;

 private:
  void Fill(TimePoint now) noexcept;

  double m_tokens_per_second;
  double m_capacity;
  double m_tokens;
  TimePoint m_filled_until;
};

}  // namespace qh::limits
