#include "decaying_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace qh::routing {
namespace {

/**
 * Instead of reducing the weight of old samples, the weight of new ones grows, so that recording
 * changes only one bucket. When it reaches this value, all buckets are scaled down, which keeps
 * single precision sufficient.
 */
constexpr float kMaxWeight = 1024.0F;

}  // namespace

void DecayingHistogram::Record(Duration duration, TimePoint now) noexcept {
  const auto value = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  const std::size_t bucket = BucketOf(static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)));
  m_buckets[bucket] += WeightAt(now);
  ++m_samples;
}

Duration DecayingHistogram::Quantile(double quantile) const noexcept {
  const float total = std::accumulate(m_buckets.begin(), m_buckets.end(), 0.0F);
  const float target = total * static_cast<float>(quantile);
  float cumulative_weight = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    cumulative_weight += m_buckets[i];
    if (cumulative_weight > 0 && cumulative_weight >= target) {
      return std::chrono::microseconds(UpperBound(i));
    }
  }
  return Duration::zero();
}

float DecayingHistogram::WeightAt(TimePoint now) noexcept {
  if (m_samples == 0) {
    m_epoch = now;
  }
  const double half_lives =
      std::chrono::duration<double>(now - m_epoch) / std::chrono::duration<double>(m_half_life);
  const auto weight = static_cast<float>(std::exp2(std::min(half_lives, 100.0)));
  if (weight < kMaxWeight) {
    return weight;
  }
  for (float& bucket : m_buckets) {
    bucket /= weight;
  }
  m_epoch = now;
  return 1.0F;
}

std::size_t DecayingHistogram::BucketOf(std::uint64_t value) noexcept {
  if (value < kSubBuckets) {
    return value;
  }
  const int power = std::bit_width(value) - std::bit_width(unsigned{kSubBuckets});
  const std::uint64_t sub = (value >> power) - kSubBuckets;
  return std::min(static_cast<std::size_t>(power + 1) * kSubBuckets + sub, kBuckets - 1);
}

std::uint64_t DecayingHistogram::UpperBound(std::size_t bucket) noexcept {
  if (bucket < kSubBuckets) {
    return bucket;
  }
  const std::size_t power = bucket / kSubBuckets - 1;
  const std::uint64_t sub = bucket % kSubBuckets;
  return ((kSubBuckets + sub + 1) << power) - 1;
}

}  // namespace qh::routing
