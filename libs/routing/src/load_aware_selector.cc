#include "load_aware_selector.h"

#include <algorithm>
#include <cmath>

namespace qh::routing {
namespace {

/** Increase of a worker's cost for each recent failure, relative to its cost without failures. */
constexpr double kFailurePenalty = 4.0;
/** Cost factor for a worker in another availability zone. */
constexpr double kOtherZoneFactor = 1.2;
/**
 * Weight of a reported request relative to a request of this VM. All entry VMs receive the same
 * delayed reports, so with full weight they would all move to the same worker at once.
 */
constexpr double kReportWeight = 0.1;
/** Share of requests at the beginning of slow start. */
constexpr double kMinSlowStartShare = 0.05;
/** Half the range of the random cost factor, which masks insignificant differences. */
constexpr double kCostJitter = 0.05;
/** Maximum number of requests of unclassified routes that this VM has in progress per worker. */
constexpr int kUnknownSlots = 1;

/**
 * Cost factor for a worker that is preferred by the other class. High, because one long request
 * blocks short ones on the same slot for many times their own latency.
 */
constexpr double kOtherClassFactor = 8.0;

double DecayFactor(Duration age, Duration window) noexcept {
  return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(window));
}

/** Returns whether the work class of `request` may use another slot of `worker`. */
bool HasSlotFor(const Worker& worker, const SelectionRequest& request) noexcept {
  // No slots are reserved until the service is known to have work of both classes.
  if (request.work_class == WorkClass::kShort || request.reserved_share <= 0) {
    return true;
  }
  if (request.work_class == WorkClass::kUnknown) {
    return worker.InProgress(WorkClass::kUnknown) < kUnknownSlots;
  }
  const int reserved = static_cast<int>(std::ceil(request.reserved_share * worker.info.slots));
  return worker.InProgress(WorkClass::kLong) < std::max(1, worker.info.slots - reserved);
}

/**
 * Partition of the workers into those that short work prefers and those that long work prefers. All
 * entry VMs rank the workers in the same order, so that they send long work to the same workers
 * without any communication.
 */
class ClassPartition {
 public:
  ClassPartition(std::span<const Worker* const> candidates, const SelectionRequest& request)
      : m_is_short(request.work_class == WorkClass::kShort) {
    if (request.reserved_share <= 0 || candidates.size() < 2) {
      return;
    }
    std::vector<int> ranks;
    ranks.reserve(candidates.size());
    for (const Worker* worker : candidates) {
      ranks.push_back(worker->rank);
    }
    const auto count = static_cast<double>(ranks.size());
    const double for_short = std::clamp(std::ceil(request.reserved_share * count), 1.0, count - 1);
    const auto first_long = ranks.begin() + static_cast<std::ptrdiff_t>(for_short);
    std::nth_element(ranks.begin(), first_long, ranks.end());
    m_first_long_rank = *first_long;
  }

  /** Returns the cost factor of `worker` for the request. */
  double CostFactor(const Worker& worker) const noexcept {
    if (!m_first_long_rank) {
      return 1.0;
    }
    const bool is_for_short = worker.rank < *m_first_long_rank;
    return is_for_short == m_is_short ? 1.0 : kOtherClassFactor;
  }

 private:
  bool m_is_short;
  std::optional<int> m_first_long_rank;
};

}  // namespace

const Worker* LoadAwareSelector::Select(std::span<const Worker* const> candidates,
                                        const SelectionRequest& request, TimePoint now,
                                        RandomGenerator& generator) {
  auto eligible = EligibleWorkers(candidates, request);
  std::erase_if(eligible, [&](const Worker* worker) { return !HasSlotFor(*worker, request); });
  FilterSlowStartWorkers(eligible, now, generator);
  const ClassPartition partition(candidates, request);
  std::uniform_real_distribution<double> jitter(1.0 - kCostJitter, 1.0 + kCostJitter);
  const Worker* best = nullptr;
  double best_cost = 0;
  for (int choice = 0; choice < m_options.choices && !eligible.empty(); ++choice) {
    std::swap(eligible[RandomIndex(eligible.size(), generator)], eligible.back());
    const Worker& worker = *eligible.back();
    const double cost = CostOf(worker, now) * partition.CostFactor(worker) * jitter(generator);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
    eligible.pop_back();
  }
  return best;
}

void LoadAwareSelector::FilterSlowStartWorkers(std::vector<const Worker*>& eligible, TimePoint now,
                                               RandomGenerator& generator) const {
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const auto first_skipped =
      std::partition(eligible.begin(), eligible.end(), [&](const Worker* worker) {
        const double share = SlowStartShare(*worker, now);
        return share >= 1.0 || draw(generator) < share;
      });
  if (first_skipped != eligible.begin()) {
    eligible.erase(first_skipped, eligible.end());
  }
}

double LoadAwareSelector::CostOf(const Worker& worker, TimePoint now) const noexcept {
  const double failures =
      worker.failures * DecayFactor(now - worker.failures_updated, m_options.failure_window);
  const bool other_zone = !m_options.own_zone.empty() && worker.info.zone != m_options.own_zone;
  return (1.0 + ExpectedQueue(worker, now)) * ExpectedLatency(worker, now) *
         (1.0 + kFailurePenalty * failures) * (other_zone ? kOtherZoneFactor : 1.0);
}

double LoadAwareSelector::ExpectedLatency(const Worker& worker, TimePoint now) const noexcept {
  // Without the decay, a worker that was slow once would get no request that shows its recovery.
  const double excess = worker.latency_ratio.value_or(1.0) - 1.0;
  return 1.0 + excess * DecayFactor(now - worker.latency_updated, m_options.latency_decay);
}

double LoadAwareSelector::ExpectedQueue(const Worker& worker, TimePoint now) const noexcept {
  double queue = worker.InProgress();
  if (worker.report) {
    const int others = std::max(0, worker.report->in_progress - worker.in_progress_at_report);
    queue += kReportWeight * others *
             DecayFactor(now - worker.report->measured_at, m_options.report_decay);
  }
  return queue / worker.info.slots;
}

double LoadAwareSelector::SlowStartShare(const Worker& worker, TimePoint now) const noexcept {
  const double share = std::chrono::duration<double>(now - worker.live_since) /
                       std::chrono::duration<double>(m_options.slow_start);
  return std::clamp(share, kMinSlowStartShare, 1.0);
}

}  // namespace qh::routing
