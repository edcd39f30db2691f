#include "quetzalhinge/metrics/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace qh::metrics {

void LatencyHistogram::Record(std::chrono::microseconds duration) noexcept {
  const std::int64_t value = std::max<std::int64_t>(0, duration.count());
  ++m_buckets[BucketOf(static_cast<std::uint64_t>(value))];
  ++m_count;
  m_sum_us += value;
  m_max_us = std::max(m_max_us, value);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) noexcept {
  for (std::size_t i = 0; i < kBuckets; ++i) {
    m_buckets[i] += other.m_buckets[i];
  }
  m_count += other.m_count;
  m_sum_us += other.m_sum_us;
  m_max_us = std::max(m_max_us, other.m_max_us);
}

std::chrono::microseconds LatencyHistogram::Quantile(double quantile) const noexcept {
  if (m_count == 0) {
    return std::chrono::microseconds(0);
  }
  const auto rank =
      static_cast<std::uint64_t>(std::max(1.0, std::ceil(quantile * static_cast<double>(m_count))));
  std::uint64_t cumulative_count = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    cumulative_count += m_buckets[i];
    if (cumulative_count >= rank) {
      return std::chrono::microseconds(
          std::min<std::int64_t>(m_max_us, static_cast<std::int64_t>(UpperBound(i))));
    }
  }
  return Max();
}

std::uint64_t LatencyHistogram::CountAtOrBelow(std::chrono::microseconds bound) const noexcept {
  const std::size_t last =
      BucketOf(static_cast<std::uint64_t>(std::max<std::int64_t>(0, bound.count())));
  std::uint64_t count = 0;
  for (std::size_t i = 0; i <= last; ++i) {
    count += m_buckets[i];
  }
  return count;
}

std::size_t LatencyHistogram::BucketOf(std::uint64_t value) noexcept {
  if (value < kSubBuckets) {
    return value;
  }
  const int power = std::bit_width(value) - std::bit_width(unsigned{kSubBuckets});
  const std::uint64_t sub = (value >> power) - kSubBuckets;
  const std::size_t bucket = static_cast<std::size_t>(power + 1) * kSubBuckets + sub;
  return std::min(bucket, kBuckets - 1);
}

std::uint64_t LatencyHistogram::UpperBound(std::size_t bucket) noexcept {
  if (bucket < kSubBuckets) {
    return bucket;
  }
  const std::size_t power = bucket / kSubBuckets - 1;
  const std::uint64_t sub = bucket % kSubBuckets;
  return ((kSubBuckets + sub + 1) << power) - 1;
}

}  // namespace qh::metrics
