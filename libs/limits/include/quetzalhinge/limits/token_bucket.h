#pragma once

#include <optional>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/**
 * Token bucket whose rate and capacity may change. In any period it hands out at most the tokens
 * held at its start plus the sum of rate times time. A time before the last one seen counts as the
 * last one seen.
 */
class TokenBucket {
 public:
  /**
   * @param tokens_per_second fill rate, at least 0
   * @param capacity largest number of tokens held, at least 0
   * @param tokens tokens held at `now`, cut to `capacity`
   */
  TokenBucket(double tokens_per_second, double capacity, double tokens, TimePoint now) noexcept;

  /** Fills at the old rate up to `now`, then changes rate and capacity. Never adds tokens. */
  void SetRate(double tokens_per_second, double capacity, TimePoint now) noexcept;

  /** Takes `amount` tokens and returns true, or takes nothing and returns false. */
  bool TryTake(double amount, TimePoint now) noexcept;

  /**
   * Returns the time until `amount` tokens are there, 0 if they are there now; nothing if they
   * never are at the present rate and capacity.
   */
  std::optional<Duration> TimeUntil(double amount, TimePoint now) noexcept;

  /** Returns the tokens held at `now`. */
  double Tokens(TimePoint now) noexcept;

 private:
  void Fill(TimePoint now) noexcept;

  double m_tokens_per_second;
  double m_capacity;
  double m_tokens;
  TimePoint m_filled_until;
};

}  // namespace qh::limits
