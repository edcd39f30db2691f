#include "quetzalhinge/dispatch/worker_picker.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace qh::dispatch {
namespace {

using std::chrono::microseconds;

/** A worker that may be picked, with its randomized expected time. */
struct Candidate {
  WorkerStatus* worker = nullptr;
  microseconds expected{};
};

/** Range of the random factor that keeps VMs and requests from all picking the same worker. */
constexpr double kJitter = 0.1;

double Jitter(RandomGenerator& random) {
  return std::uniform_real_distribution<double>(1 - kJitter, 1 + kJitter)(random);
}

}  // namespace

WorkerPicker::WorkerPicker(const WorkerPickerOptions& options) : m_options(options) {}

bool WorkerPicker::IsPreferred(const WorkerStatus& worker, TimePoint now) const noexcept {
  if (!worker.reported_at.has_value() || now - *worker.reported_at > m_options.fresh_age) {
    return false;
  }
  const double target_slots = std::floor(worker.record.slots * m_options.target_utilization);
  return worker.report.slowdown <= m_options.max_fast_slowdown && now >= worker.cold_until &&
         Occupancy(worker) + 1 <= std::max(1.0, target_slots) && now >= worker.unhealthy_until &&
         FailureWeight(worker, now) < m_options.failing_threshold;
}

microseconds WorkerPicker::ExpectedTime(const WorkerStatus& worker, const PickRequest& request,
                                        TimePoint now) const noexcept {
  double slowdown = m_options.default_slowdown;
  if (worker.reported_at.has_value()) {
    const double age = std::chrono::duration<double, std::milli>(now - *worker.reported_at).count();
    const double confidence =
        age <= static_cast<double>(m_options.fresh_age.count())
            ? 1.0
            : std::exp(-age / static_cast<double>(m_options.report_decay.count()));
    slowdown = confidence * worker.report.slowdown + (1 - confidence) * slowdown;
  }
  if (now < worker.cold_until) {
    slowdown *= m_options.cold_slowdown;
  }
  const int slots = std::max(1, worker.record.slots);
  const double queue_rounds =
      std::max(0, Occupancy(worker) + 1 - slots) / static_cast<double>(slots);
  double factor = slowdown * (1 + queue_rounds);
  // The penalty grows with the weight of failures: one failure among many successes adds little,
  // several recent ones make the worker unattractive.
  factor *= 1 + FailureWeight(worker, now);
  if (now < worker.unhealthy_until) {
    factor *= 2;
  }
  const auto work = std::chrono::duration_cast<microseconds>(request.expected_work);
  const auto distance = worker.record.zone == request.zone
                            ? microseconds(0)
                            : std::chrono::duration_cast<microseconds>(m_options.other_zone_cost);
  return microseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * factor)) +
         distance;
}

Pick WorkerPicker::Decide(WorkerRegistry& registry, const PickRequest& request,
                          const std::set<std::string>& probed, bool may_probe, TimePoint now,
                          RandomGenerator& random) const {
  std::vector<Candidate> candidates;
  std::optional<Duration> limit_wait;
  for (WorkerStatus* worker : registry.Usable(request.service)) {
    if (request.excluded.count(worker->record.id) != 0) {
      continue;
    }
    const Duration until =
        registry.Limits().TimeUntilSend(worker->record.id, now).value_or(kMaxLimitWait);
    if (until > Duration(0)) {
      limit_wait = std::min(limit_wait.value_or(kMaxLimitWait), until);
    } else {
      const microseconds expected = ExpectedTime(*worker, request, now);
      candidates.push_back({worker, microseconds(static_cast<std::int64_t>(
                                        static_cast<double>(expected.count()) * Jitter(random)))});
    }
  }
  if (candidates.empty() && limit_wait.has_value()) {
    return {PickStep::kLimited, "", {}, "all workers are at their limits", *limit_wait};
  }
  if (candidates.empty()) {
    return {PickStep::kNone, "", {}, "no usable worker"};
  }
  const auto is_nearer = [&request](const Candidate& a, const Candidate& b) {
    const bool a_near = a.worker->record.zone == request.zone;
    const bool b_near = b.worker->record.zone == request.zone;
    return a_near != b_near ? a_near : a.expected < b.expected;
  };
  std::sort(candidates.begin(), candidates.end(), is_nearer);
  for (const Candidate& candidate : candidates) {
    if (IsPreferred(*candidate.worker, now)) {
      return {PickStep::kSend, candidate.worker->record.id, {}, "fast and free"};
    }
  }
  if (may_probe) {
    Pick probe{PickStep::kProbe, "", {}, "no fresh report of a fast worker"};
    for (const Candidate& candidate : candidates) {
      if (probed.count(candidate.worker->record.id) == 0 &&
          probe.probes.size() < m_options.probes_per_round) {
        probe.probes.push_back(candidate.worker->record.id);
      }
    }
    if (!probe.probes.empty()) {
      return probe;
    }
  }
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.expected < b.expected; });
  const WorkerStatus& worker = *best->worker;
  if (Occupancy(worker) >= worker.record.slots + m_options.max_queued_requests) {
    return {PickStep::kFull, worker.record.id, {}, "all workers are full"};
  }
  return {PickStep::kSend, worker.record.id, {}, "least expected time"};
}

}  // namespace qh::dispatch
