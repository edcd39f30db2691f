#include "load_aware_selector.h"

#include <algorithm>
#include <cmath>

namespace qh::routing {
namespace {

/** Cost of one recent failure as a multiple of the cost without it. */
constexpr double kFailurePenalty = 4.0;
/** Cost of a worker in another availability zone as a multiple of the same one in the own zone. */
constexpr double kOtherZoneFactor = 1.2;
/**
 * Weight of a reported request against an own one. All entry VMs receive the same late figure, so
 * with full weight they all move to the same worker at once.
 */
constexpr double kReportWeight = 0.1;
constexpr double kLeastSlowStartShare = 0.05;
/** Half the range of random factors on costs, so that differences without meaning decide nothing.
 */
constexpr double kCostJitter = 0.05;
/** Slots of each worker that this VM uses for routes it cannot classify yet. */
constexpr int kUnknownSlots = 1;

/**
 * Cost of a worker outside those that the class of the request prefers. High, because one long
 * request on a slot blocks short ones for many times their own latency.
 */
constexpr double kOtherClassFactor = 8.0;

double Faded(Duration age, Duration window) noexcept {
  return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(window));
}

/** Returns whether `worker` has a slot for the request's class. */
bool HasSlotFor(const Worker& worker, const SelectionRequest& request) noexcept {
  // Nothing is held back as long as the service is not known to have work of both classes.
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
 * The border between the workers that long and short work prefer. All entry VMs rank the workers in
 * the same order, so without any message long work meets on the same workers.
 */
class ClassBorder {
 public:
  ClassBorder(std::span<const Worker* const> candidates, const SelectionRequest& request)
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
    const auto border = ranks.begin() + static_cast<std::ptrdiff_t>(for_short);
    std::nth_element(ranks.begin(), border, ranks.end());
    m_first_long_rank = *border;
  }

  /** Returns the factor on the cost of `worker` for the request. */
  double FactorOf(const Worker& worker) const noexcept {
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
  PassOverStartingWorkers(eligible, now, generator);
  const ClassBorder border(candidates, request);
  std::uniform_real_distribution<double> jitter(1.0 - kCostJitter, 1.0 + kCostJitter);
  const Worker* best = nullptr;
  double best_cost = 0;
  for (int choice = 0; choice < m_options.choices && !eligible.empty(); ++choice) {
    std::swap(eligible[RandomIndex(eligible.size(), generator)], eligible.back());
    const Worker& worker = *eligible.back();
    const double cost = CostOf(worker, now) * border.FactorOf(worker) * jitter(generator);
    if (best == nullptr || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
    eligible.pop_back();
  }
  return best;
}

void LoadAwareSelector::PassOverStartingWorkers(std::vector<const Worker*>& eligible, TimePoint now,
                                                RandomGenerator& generator) const {
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  const auto first_passed_over =
      std::partition(eligible.begin(), eligible.end(), [&](const Worker* worker) {
        const double share = SlowStartShare(*worker, now);
        return share >= 1.0 || draw(generator) < share;
      });
  if (first_passed_over != eligible.begin()) {
    eligible.erase(first_passed_over, eligible.end());
  }
}

double LoadAwareSelector::CostOf(const Worker& worker, TimePoint now) const noexcept {
  const double failures =
      worker.failures * Faded(now - worker.failures_updated, m_options.failure_window);
  const bool other_zone = !m_options.own_zone.empty() && worker.info.zone != m_options.own_zone;
  return (1.0 + ExpectedQueue(worker, now)) * ExpectedLatency(worker, now) *
         (1.0 + kFailurePenalty * failures) * (other_zone ? kOtherZoneFactor : 1.0);
}

double LoadAwareSelector::ExpectedLatency(const Worker& worker, TimePoint now) const noexcept {
  // Without the fade, a worker that was slow once would get no call that could show its recovery.
  const double excess = worker.latency_ratio.value_or(1.0) - 1.0;
  return 1.0 + excess * Faded(now - worker.latency_updated, m_options.latency_fade);
}

double LoadAwareSelector::ExpectedQueue(const Worker& worker, TimePoint now) const noexcept {
  double queue = worker.InProgress();
  if (worker.report) {
    const int others = std::max(0, worker.report->in_progress - worker.own_at_report);
    queue +=
        kReportWeight * others * Faded(now - worker.report->measured_at, m_options.report_fade);
  }
  return queue / worker.info.slots;
}

double LoadAwareSelector::SlowStartShare(const Worker& worker, TimePoint now) const noexcept {
  const double share = std::chrono::duration<double>(now - worker.live_since) /
                       std::chrono::duration<double>(m_options.slow_start);
  return std::clamp(share, kLeastSlowStartShare, 1.0);
}

}  // namespace qh::routing
