#include "quetzalhinge/dispatch/worker_registry.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace qh::dispatch {
namespace {

/** Half-life of the weight of failures. */
constexpr std::chrono::milliseconds kFailureHalfLife{2000};

/** Share of the weight of failures that a successful response removes. */
constexpr double kSuccessDecay = 0.7;

/** Maximum weight of failures; bounds the time until a recovered worker is used again. */
constexpr double kMaxFailureWeight = 8;

}  // namespace

struct WorkerRegistry::Impl {
  struct Entry {
    WorkerStatus status;
    /** Time of the deferred removal, if one is pending. */
    std::optional<TimePoint> remove_at;
  };

  std::map<std::string, Entry, std::less<>> workers;
  /** Ids by service, because each request considers the workers of one service only. */
  std::map<std::string, std::set<std::string>, std::less<>> ids_by_service;
  /** Last records of removed workers, to recognise their late entries. */
  std::map<std::string, WorkerRecord, std::less<>> removed;
  TimePoint defer_removals_until{};
  WorkerLimits limits;

  static bool IsOlder(const WorkerRecord& record, const WorkerRecord& current) {
    if (record.started_unix_ms != current.started_unix_ms) {
      return record.started_unix_ms != 0 && record.started_unix_ms < current.started_unix_ms;
    }
    return record.sequence < current.sequence;
  }

  static bool IsRestart(const WorkerRecord& record, const WorkerRecord& current) {
    return record.started_unix_ms != current.started_unix_ms || record.address != current.address ||
           record.service != current.service;
  }

  void ApplyRecord(const WorkerRecord& record, TimePoint now, std::vector<WorkerEvent>& events) {
    const auto last_removed = removed.find(record.id);
    if (last_removed != removed.end() && IsOlder(record, last_removed->second)) {
      return;
    }
    const auto found = workers.find(record.id);
    if (found == workers.end()) {
      Entry entry;
      entry.status.record = record;
      entry.status.cold_until = now + record.cold_remaining;
      workers.emplace(record.id, std::move(entry));
      ids_by_service[record.service].insert(record.id);
      removed.erase(record.id);
      events.push_back({WorkerChange::kJoined, record});
      return;
    }
    Update(found->second, record, now, events);
  }

  void RemoveFromServiceIndex(const WorkerRecord& record) {
    const auto ids = ids_by_service.find(record.service);
    ids->second.erase(record.id);
    if (ids->second.empty()) {
      ids_by_service.erase(ids);
    }
  }

  void Update(Entry& entry, const WorkerRecord& record, TimePoint now,
              std::vector<WorkerEvent>& events) {
    const WorkerRecord current = entry.status.record;
    if (IsOlder(record, current)) {
      return;
    }
    const bool was_removal_deferred = entry.remove_at.has_value();
    entry.remove_at.reset();
    if (IsRestart(record, current)) {
      RemoveFromServiceIndex(current);
      limits.Forget(record.id);
      ids_by_service[record.service].insert(record.id);
      entry.status = WorkerStatus{};
      entry.status.record = record;
      entry.status.cold_until = now + record.cold_remaining;
      events.push_back({WorkerChange::kRestarted, record});
      return;
    }
    entry.status.record = record;
    if (record.cold_remaining.count() > 0) {
      entry.status.cold_until = now + record.cold_remaining;
    }
    if (record.state == WorkerState::kLeaving && current.state != WorkerState::kLeaving) {
      events.push_back({WorkerChange::kLeaving, record});
    } else if (was_removal_deferred ||
               (record.state == WorkerState::kReady && current.state == WorkerState::kLeaving)) {
      events.push_back({WorkerChange::kReturned, record});
    }
  }

  void Remove(const std::string& id, TimePoint now, std::vector<WorkerEvent>& events) {
    const auto found = workers.find(id);
    if (found == workers.end()) {
      return;
    }
    Entry& entry = found->second;
    // The entry of a leaving worker is removed on purpose, so its removal is not deferred.
    if (now < defer_removals_until && entry.status.record.state == WorkerState::kReady) {
      if (!entry.remove_at.has_value()) {
        entry.remove_at = defer_removals_until;
        events.push_back({WorkerChange::kRemovalDeferred, entry.status.record});
      }
      return;
    }
    events.push_back({WorkerChange::kRemoved, entry.status.record});
    RemoveFromServiceIndex(entry.status.record);
    removed[id] = entry.status.record;
    limits.Forget(id);
    workers.erase(found);
  }
};

WorkerRegistry::WorkerRegistry() : m_impl(std::make_unique<Impl>()) {}
WorkerRegistry::~WorkerRegistry() = default;

std::vector<WorkerEvent> WorkerRegistry::ApplyAll(const std::vector<WorkerEntry>& entries,
                                                  TimePoint now) {
  std::vector<WorkerEvent> events = Apply(entries, now);
  std::set<std::string_view> listed;
  for (const WorkerEntry& entry : entries) {
    listed.insert(entry.id);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : m_impl->workers) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    m_impl->Remove(id, now, events);
  }
  return events;
}

std::vector<WorkerEvent> WorkerRegistry::Apply(const std::vector<WorkerEntry>& entries,
                                               TimePoint now) {
  std::vector<WorkerEvent> events;
  for (const WorkerEntry& entry : entries) {
    if (entry.record.has_value()) {
      m_impl->ApplyRecord(*entry.record, now, events);
    } else {
      m_impl->Remove(entry.id, now, events);
    }
  }
  return events;
}

void WorkerRegistry::DeferRemovals(TimePoint until) noexcept {
  m_impl->defer_removals_until = std::max(m_impl->defer_removals_until, until);
}

std::vector<WorkerEvent> WorkerRegistry::Expire(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [id, entry] : m_impl->workers) {
    if (entry.remove_at.has_value() && *entry.remove_at <= now) {
      due.push_back(id);
    }
  }
  std::vector<WorkerEvent> events;
  for (const std::string& id : due) {
    m_impl->Remove(id, now, events);
  }
  return events;
}

WorkerStatus* WorkerRegistry::Find(std::string_view id) {
  const auto found = m_impl->workers.find(id);
  return found == m_impl->workers.end() ? nullptr : &found->second.status;
}

std::vector<WorkerStatus*> WorkerRegistry::Usable(std::string_view service) {
  std::vector<WorkerStatus*> usable;
  const auto ids = m_impl->ids_by_service.find(service);
  if (ids == m_impl->ids_by_service.end()) {
    return usable;
  }
  for (const std::string& id : ids->second) {
    WorkerStatus& worker = m_impl->workers.find(id)->second.status;
    if (worker.record.state == WorkerState::kReady) {
      usable.push_back(&worker);
    }
  }
  return usable;
}

std::vector<const WorkerStatus*> WorkerRegistry::All() const {
  std::vector<const WorkerStatus*> all;
  for (const auto& [id, entry] : m_impl->workers) {
    all.push_back(&entry.status);
  }
  return all;
}

void WorkerRegistry::OnReport(std::string_view id, const LoadReport& report, TimePoint now) {
  WorkerStatus* worker = Find(id);
  if (worker == nullptr) {
    return;
  }
  worker->report = report;
  worker->reported_at = now;
  worker->sent_since_report = 0;
  worker->ended_since_report = 0;
}

WorkerLimits& WorkerRegistry::Limits() noexcept { return m_impl->limits; }

void WorkerRegistry::OnSent(std::string_view id, TimePoint now) {
  m_impl->limits.OnSent(id, now);
  WorkerStatus* worker = Find(id);
  if (worker != nullptr) {
    ++worker->in_progress;
    ++worker->sent_since_report;
  }
}

void WorkerRegistry::OnEnded(std::string_view id) {
  WorkerStatus* worker = Find(id);
  if (worker != nullptr && worker->in_progress > 0) {
    --worker->in_progress;
    ++worker->ended_since_report;
  }
}

void WorkerRegistry::OnFailure(std::string_view id, TimePoint now) {
  WorkerStatus* worker = Find(id);
  if (worker != nullptr) {
    worker->failure_weight = std::min(kMaxFailureWeight, FailureWeight(*worker, now) + 1);
    worker->failed_at = now;
  }
}

void WorkerRegistry::OnSuccess(std::string_view id, TimePoint now) {
  WorkerStatus* worker = Find(id);
  if (worker != nullptr && worker->failure_weight > 0) {
    worker->failure_weight = FailureWeight(*worker, now) * (1 - kSuccessDecay);
    worker->failed_at = now;
  }
}

double FailureWeight(const WorkerStatus& worker, TimePoint now) noexcept {
  if (worker.failure_weight <= 0) {
    return 0;
  }
  const double halvings = std::chrono::duration<double>(now - worker.failed_at) / kFailureHalfLife;
  return worker.failure_weight * std::exp2(-halvings);
}

int Occupancy(const WorkerStatus& worker) noexcept {
  const int reported = worker.report.running + worker.report.waiting;
  return std::max(worker.in_progress,
                  reported + worker.sent_since_report - worker.ended_since_report);
}

}  // namespace qh::dispatch
