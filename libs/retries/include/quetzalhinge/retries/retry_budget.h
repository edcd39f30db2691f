#pragma once

#include <cstdint>

namespace qh::retries {

/**
 * Retry budget of one customer and service, shared by retries and hedged requests. Each first
 * attempt adds `retry_share` of a token; each retry or hedged request takes one token. The budget
 * starts empty, so retries and hedged requests never exceed `retry_share` of the first attempts.
 */
class RetryBudget {
 public:
  /**
   * @param retry_share tokens per first attempt, within [0, 1]; other values are clamped
   * @param capacity maximum number of tokens. Bounds the burst of retries when many first attempts
   *     fail at once after a time without retries.
   */
  explicit RetryBudget(double retry_share, std::uint32_t capacity = 50) noexcept;

  /** Adds the share of a token for a first attempt. */
  void OnFirstAttempt() noexcept;

  /** Takes one token and returns true, or returns false if there is none. */
  bool TryTake() noexcept;

  /** Changes the share for later attempts; the tokens in the budget are kept. */
  void SetRetryShare(double retry_share) noexcept;

  /** Changes the maximum number of tokens; excess tokens are discarded. */
  void SetCapacity(std::uint32_t capacity) noexcept;

  /** Returns the number of whole tokens in the budget. */
  std::uint32_t TokensLeft() const noexcept;

 private:
  // All in millionths of a token.
  std::int64_t m_units_per_attempt;
  std::int64_t m_capacity_units;
  std::int64_t m_units = 0;
};

}  // namespace qh::retries
