#include "quetzalhinge/routing/worker_table.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>

#include "quetzalhinge/base/hash.h"

namespace qh::routing {
namespace {

/**
 * Ranks live workers by their hashes within each availability zone and interleaves the zones, so
 * that any leading part of the order contains about the same share of each zone. Every VM that
 * knows the same live workers computes the same order.
 */
void RankWorkers(std::vector<Worker*> workers) {
  std::sort(workers.begin(), workers.end(), [](const Worker* a, const Worker* b) {
    return std::tie(a->info.zone, a->id_hash) < std::tie(b->info.zone, b->id_hash);
  });
  std::vector<std::tuple<double, std::uint64_t, Worker*>> order;
  for (auto first = workers.begin(); first != workers.end();) {
    const auto last = std::find_if(first, workers.end(), [&](const Worker* worker) {
      return worker->info.zone != (*first)->info.zone;
    });
    const auto size = static_cast<double>(last - first);
    double position = 0.5;
    for (; first != last; ++first, position += 1.0) {
      order.emplace_back(position / size, (*first)->id_hash, *first);
    }
  }
  std::sort(order.begin(), order.end());
  int rank = 0;
  for (const auto& [position, hash, worker] : order) {
    worker->rank = rank++;
  }
}

/** The workers of one service, and the subset from which this VM selects. */
struct ServiceWorkers {
  explicit ServiceWorkers(const SubsetOptions& options) : subset(options) {}

  std::vector<Worker*> workers;
  WorkerSubset subset;
  std::vector<const Worker*> candidates;

  /** Updates ranks, subset and candidates after a change of workers, zones or states. */
  void Refresh() {
    std::vector<Worker*> live;
    std::vector<std::string> live_ids;
    for (Worker* worker : workers) {
      if (worker->state == WorkerState::kLive) {
        live.push_back(worker);
        live_ids.push_back(worker->info.id);
      }
    }
    RankWorkers(live);
    subset.Update(live_ids);
    candidates.clear();
    std::copy_if(live.begin(), live.end(), std::back_inserter(candidates),
                 [&](const Worker* worker) { return subset.Contains(worker->info.id); });
  }
};

bool HasOtherIncarnation(const Worker& worker, const WorkerObservation& observation) noexcept {
  return !observation.incarnation.empty() && !worker.incarnation.empty() &&
         observation.incarnation != worker.incarnation;
}

bool IsReportedByWorker(ObservationSource source) noexcept {
  return source == ObservationSource::kResponseHeader ||
         source == ObservationSource::kHealthEndpoint;
}

bool ShouldApplyLeave(const Worker& worker, const WorkerObservation& observation) noexcept {
  if (worker.state == WorkerState::kGone) {
    return false;
  }
  if (HasOtherIncarnation(worker, observation)) {
    return observation.stamp > worker.state_stamp;
  }
  // An observation made at the worker itself is current. Stamps of different clocks are compared
  // only if an earlier leave could be mistaken for a new one, which is after the worker has
  // returned.
  return IsReportedByWorker(observation.source) || !worker.has_left ||
         observation.stamp > worker.state_stamp;
}

bool ShouldApplyReturn(const Worker& worker, const WorkerObservation& observation, TimePoint now,
                       Duration list_delay) noexcept {
  if (observation.stamp <= worker.state_stamp) {
    return false;
  }
  if (HasOtherIncarnation(worker, observation)) {
    return true;
  }
  const auto stamp_delay = std::chrono::microseconds(observation.stamp - worker.state_stamp);
  return observation.source == ObservationSource::kVmList && stamp_delay >= list_delay &&
         now - worker.state_applied >= list_delay;
}

/** Makes the worker live and resets the statistics of its earlier run, which no longer apply. */
void MarkLive(Worker& worker, const WorkerObservation& observation, TimePoint now) {
  worker.state = WorkerState::kLive;
  worker.state_stamp = observation.stamp;
  worker.state_applied = now;
  worker.live_since = now;
  worker.incarnation =
      observation.incarnation.empty() ? worker.incarnation : observation.incarnation;
  worker.report.reset();
  worker.latency_ratio.reset();
  worker.short_latency_us.reset();
  worker.failures = 0;
}

void MarkUnavailable(Worker& worker, const WorkerObservation& observation, TimePoint now) {
  worker.state = observation.state;
  worker.state_stamp = std::max(worker.state_stamp, observation.stamp);
  worker.state_applied = now;
  worker.has_left = true;
  if (!observation.incarnation.empty()) {
    worker.incarnation = observation.incarnation;
  }
}

bool ApplyLeave(Worker& worker, const WorkerObservation& observation, TimePoint now) {
  if (!ShouldApplyLeave(worker, observation)) {
    return false;
  }
  const bool changed = worker.state != WorkerState::kLeaving;
  MarkUnavailable(worker, observation, now);
  return changed;
}

bool ApplyGone(Worker& worker, const WorkerObservation& observation, TimePoint now) {
  if (observation.source != ObservationSource::kVmList || worker.state == WorkerState::kGone) {
    return false;
  }
  MarkUnavailable(worker, observation, now);
  return true;
}

bool ApplyLive(Worker& worker, const WorkerObservation& observation, TimePoint now,
               Duration list_delay) {
  if (worker.state == WorkerState::kLive) {
    if (HasOtherIncarnation(worker, observation) && observation.stamp > worker.state_stamp) {
      MarkLive(worker, observation, now);
    } else if (worker.incarnation.empty()) {
      worker.incarnation = observation.incarnation;
    }
    return false;
  }
  if (!ShouldApplyReturn(worker, observation, now, list_delay)) {
    return false;
  }
  MarkLive(worker, observation, now);
  return true;
}

double DecayFactor(Duration age, Duration window) noexcept {
  return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(window));
}

/** Updates an EWMA; `weight` of `sample` grows with the time since the last sample. */
void UpdateAverage(std::optional<double>& average, double sample, double weight) noexcept {
  average = average ? *average + weight * (sample - *average) : sample;
}

bool CountsAsFailure(RequestOutcome outcome) noexcept {
  return outcome == RequestOutcome::kFailed || outcome == RequestOutcome::kShed ||
         outcome == RequestOutcome::kTimedOut;
}

bool CountsAsLatency(RequestOutcome outcome) noexcept {
  return outcome == RequestOutcome::kSucceeded || outcome == RequestOutcome::kTimedOut;
}

void RecordLatency(Worker& worker, const RequestEnd& end, TimePoint now, Duration window) noexcept {
  const double weight = 1.0 - DecayFactor(now - worker.latency_updated, window);
  const double latency_us = std::chrono::duration<double, std::micro>(end.latency).count();
  const double expected_us = std::chrono::duration<double, std::micro>(end.expected).count();
  if (expected_us > 0) {
    UpdateAverage(worker.latency_ratio, latency_us / expected_us, weight);
  }
  if (end.work_class == WorkClass::kShort) {
    UpdateAverage(worker.short_latency_us, latency_us, weight);
  }
  worker.latency_updated = now;
}

}  // namespace

struct WorkerTable::Impl {
  WorkerTableOptions options;
  std::map<std::string, Worker, std::less<>> workers;
  std::map<std::string, ServiceWorkers, std::less<>> services;

  Worker* Find(std::string_view id) noexcept {
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : &found->second;
  }

  ServiceWorkers& ServiceOf(const std::string& service) {
    return services.try_emplace(service, options.subset).first->second;
  }

  void Add(const WorkerInfo& info, const WorkerObservation& observation, TimePoint now) {
    Worker& worker = workers[info.id];
    worker.info = info;
    worker.info.slots = std::max(1, info.slots);
    worker.id_hash = HashBytes(info.id);
    MarkLive(worker, observation, now);
    if (observation.state != WorkerState::kLive) {
      MarkUnavailable(worker, observation, now);
    }
    ServiceWorkers& service = ServiceOf(info.service);
    const auto position = std::lower_bound(
        service.workers.begin(), service.workers.end(), info.id,
        [](const Worker* other, const std::string& id) { return other->info.id < id; });
    service.workers.insert(position, &worker);
    service.Refresh();
  }

  bool Apply(Worker& worker, const WorkerObservation& observation, TimePoint now) {
    bool changed = false;
    switch (observation.state) {
      case WorkerState::kLive:
        changed = ApplyLive(worker, observation, now, options.list_return_delay);
        break;
      case WorkerState::kLeaving:
        changed = ApplyLeave(worker, observation, now);
        break;
      case WorkerState::kGone:
        changed = ApplyGone(worker, observation, now);
        break;
    }
    if (changed) {
      ServiceOf(worker.info.service).Refresh();
    }
    return changed;
  }

  /** Erases workers that have been gone for so long that no late observations are expected. */
  void EraseGone(TimePoint now) {
    for (auto it = workers.begin(); it != workers.end();) {
      const Worker& worker = it->second;
      if (worker.state == WorkerState::kGone && worker.InProgress() == 0 &&
          now - worker.state_applied >= options.gone_retention) {
        std::erase(ServiceOf(worker.info.service).workers, &worker);
        it = workers.erase(it);
      } else {
        ++it;
      }
    }
  }
};

WorkerTable::WorkerTable(const WorkerTableOptions& options)
    : m_impl(std::make_unique<Impl>(Impl{options, {}, {}})) {}
WorkerTable::~WorkerTable() = default;

bool WorkerTable::Upsert(const WorkerInfo& info, const WorkerObservation& observation,
                         TimePoint now) {
  Worker* worker = m_impl->Find(info.id);
  if (worker == nullptr) {
    if (observation.state == WorkerState::kGone) {
      return false;
    }
    m_impl->Add(info, observation, now);
    return true;
  }
  if (worker->info.service != info.service) {
    return false;
  }
  const bool zone_changed = worker->info.zone != info.zone;
  worker->info = info;
  worker->info.slots = std::max(1, info.slots);
  if (zone_changed) {
    m_impl->ServiceOf(info.service).Refresh();
  }
  return m_impl->Apply(*worker, observation, now);
}

bool WorkerTable::Apply(std::string_view id, const WorkerObservation& observation, TimePoint now) {
  Worker* worker = m_impl->Find(id);
  return worker != nullptr && m_impl->Apply(*worker, observation, now);
}

void WorkerTable::EraseGone(TimePoint now) { m_impl->EraseGone(now); }

const Worker* WorkerTable::Find(std::string_view id) const noexcept { return m_impl->Find(id); }

std::vector<const Worker*> WorkerTable::WorkersOf(std::string_view service) const {
  const auto found = m_impl->services.find(service);
  if (found == m_impl->services.end()) {
    return {};
  }
  return {found->second.workers.begin(), found->second.workers.end()};
}

std::span<const Worker* const> WorkerTable::Candidates(std::string_view service) const noexcept {
  const auto found = m_impl->services.find(service);
  if (found == m_impl->services.end()) {
    return {};
  }
  return found->second.candidates;
}

int WorkerTable::ConnectionsPerWorker(std::string_view service) const noexcept {
  const auto found = m_impl->services.find(service);
  return found == m_impl->services.end() ? 1 : found->second.subset.ConnectionsPerWorker();
}

bool WorkerTable::Started(std::string_view id, WorkClass work_class) {
  Worker* worker = m_impl->Find(id);
  if (worker == nullptr || worker->state != WorkerState::kLive) {
    return false;
  }
  ++worker->in_progress[static_cast<std::size_t>(work_class)];
  return true;
}

bool WorkerTable::Finished(std::string_view id, const RequestEnd& end, TimePoint now) {
  Worker* worker = m_impl->Find(id);
  if (worker == nullptr || worker->InProgress(end.work_class) == 0) {
    return false;
  }
  --worker->in_progress[static_cast<std::size_t>(end.work_class)];
  if (CountsAsFailure(end.outcome)) {
    worker->failures = RecentFailures(*worker, now) + 1;
    worker->failures_updated = now;
  }
  if (CountsAsLatency(end.outcome)) {
    RecordLatency(*worker, end, now, m_impl->options.latency_window);
  }
  return true;
}

void WorkerTable::Report(std::string_view id, const LoadReport& report) {
  Worker* worker = m_impl->Find(id);
  if (worker == nullptr || (worker->report && worker->report->measured_at >= report.measured_at)) {
    return;
  }
  worker->report = report;
  worker->in_progress_at_report = worker->InProgress();
}

void WorkerTable::SetInProgressLimit(std::string_view id, int limit) noexcept {
  if (Worker* worker = m_impl->Find(id)) {
    worker->in_progress_limit = std::max(1, limit);
  }
}

double WorkerTable::RecentFailures(const Worker& worker, TimePoint now) const noexcept {
  return worker.failures *
         DecayFactor(now - worker.failures_updated, m_impl->options.failure_window);
}

}  // namespace qh::routing
