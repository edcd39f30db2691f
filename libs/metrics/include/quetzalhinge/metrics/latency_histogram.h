#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace qh::metrics {

/**
 * Log-linear histogram of durations from 1 microsecond to about 70 minutes. Each power of two is
 * divided into 16 equal buckets, so a quantile is at most 6.25% above the true value. The size is
 * fixed (about 4 KB), and Record() does not allocate memory.
 */
class LatencyHistogram {
 public:
  /** Adds a duration. Negative ones count as 0, too long ones go to the last bucket. */
  void Record(std::chrono::microseconds duration) noexcept;

  /** Adds all counts of `other`. */
  void Merge(const LatencyHistogram& other) noexcept;

  /** Returns the number of recorded durations. */
  std::uint64_t Count() const noexcept { return m_count; }

  /** Returns the sum of recorded durations. */
  std::chrono::microseconds Sum() const noexcept { return std::chrono::microseconds(m_sum_us); }

  /** Returns the longest recorded duration, 0 if none. */
  std::chrono::microseconds Max() const noexcept { return std::chrono::microseconds(m_max_us); }

  /**
   * Returns the upper bound of the bucket that contains the given quantile, at most Max().
   * @param quantile within [0, 1]
   * @return 0 if nothing was recorded
   */
  std::chrono::microseconds Quantile(double quantile) const noexcept;

  /**
   * Returns the number of recorded durations that are at most `bound`, rounded up to the end of its
   * bucket.
   */
  std::uint64_t CountAtOrBelow(std::chrono::microseconds bound) const noexcept;

 private:
  static constexpr int kSubBuckets = 16;
  static constexpr int kPowers = 29;
  static constexpr std::size_t kBuckets = kSubBuckets * kPowers;

  static std::size_t BucketOf(std::uint64_t value) noexcept;
  static std::uint64_t UpperBound(std::size_t bucket) noexcept;

  std::array<std::uint64_t, kBuckets> m_buckets{};
  std::uint64_t m_count = 0;
  std::int64_t m_sum_us = 0;
  std::int64_t m_max_us = 0;
};

}  // namespace qh::metrics
