#pragma once

#include <array>
#include <cstdint>

#include "quetzalhinge/base/time.h"

namespace qh::routing {

/**
 * Log-linear histogram of durations from 1 microsecond to about 2 minutes. The weight of samples
 * decays with a half-life. Each power of two has 8 buckets, so that a quantile is at most 12.5%
 * above the exact value.
 */
class DecayingHistogram {
 public:
  explicit DecayingHistogram(Duration half_life) noexcept : m_half_life(half_life) {}

  /** Records a duration; values out of range are counted in the first or the last bucket. */
  void Record(Duration duration, TimePoint now) noexcept;

  /** Returns the upper bound of the bucket that contains `quantile`; 0 if there are no samples. */
  Duration Quantile(double quantile) const noexcept;

  /** Returns the number of recorded samples, without decay. */
  std::uint64_t Samples() const noexcept { return m_samples; }

 private:
  static constexpr int kSubBuckets = 8;
  static constexpr int kPowers = 25;
  static constexpr std::size_t kBuckets = kSubBuckets * kPowers;

  static std::size_t BucketOf(std::uint64_t value) noexcept;
  static std::uint64_t UpperBound(std::size_t bucket) noexcept;
  float WeightAt(TimePoint now) noexcept;

  Duration m_half_life;
  TimePoint m_epoch;
  std::array<float, kBuckets> m_buckets{};
  std::uint64_t m_samples = 0;
};

}  // namespace qh::routing
