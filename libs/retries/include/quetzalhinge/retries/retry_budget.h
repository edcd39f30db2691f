#pragma once

#include <cstdint>

namespace qh::retries {

/**
 * Budget for second attempts (retries and hedges) of one customer and service. Each first attempt
 * earns `retry_share` of a token, each second attempt costs one. It starts empty, so second
 * attempts are never more than retry_share of the first attempts counted so far.
 */
class RetryBudget {
 public:
  /**
   * @param retry_share within [0, 1]; values outside are cut to it
   * @param capacity largest number of tokens saved up. Bounds the retries after a quiet time, when
   *     many first attempts fail at once.
   */
  explicit RetryBudget(double retry_share, std::uint32_t capacity = 50) noexcept;

  /** Counts a first attempt. */
  void OnFirstAttempt() noexcept;

  /** Takes one token and returns true, or returns false if there is none. */
  bool TryTake() noexcept;

  /** Applies a new share; saved tokens stay. */
  void SetRetryShare(double retry_share) noexcept;

  /** Applies a new largest number of saved tokens; tokens above it are lost. */
  void SetCapacity(std::uint32_t capacity) noexcept;

  /** Returns the whole tokens that are left. */
  std::uint32_t TokensLeft() const noexcept;

 private:
  std::int64_t m_earned_per_attempt;
  std::int64_t m_capacity;
  std::int64_t m_tokens = 0;
};

}  // namespace qh::retries
