#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/dispatch/worker_record.h"

namespace qh::dispatch {

/** One worker's entry, as of one reading of the store. */
struct WorkerEntry {
  std::string id;
  /** Nothing if the entry was removed or cannot be read: it then names no worker to use. */
  std::optional<WorkerRecord> record;
};

/** What became of a worker. */
enum class WorkerChange {
  kJoined,
  /** The same identity was started anew, or has another address: it knows nothing of before. */
  kRestarted,
  kLeaving,
  /** Was leaving, or its removal was put off, and is back. */
  kBack,
  kRemoved,
  /** Its removal is put off, because the store was away. */
  kRemovalPutOff,
};

inline constexpr EnumTable<WorkerChange, 6> kWorkerChangeNames{{{
    {WorkerChange::kJoined, "joined"},
    {WorkerChange::kRestarted, "restarted"},
    {WorkerChange::kLeaving, "leaving"},
    {WorkerChange::kBack, "back"},
    {WorkerChange::kRemoved, "removed"},
    {WorkerChange::kRemovalPutOff, "removal_put_off"},
}}};

/** A change and the worker it concerns. */
struct WorkerEvent {
  WorkerChange change = WorkerChange::kJoined;
  /** For kRemoved the last record known. */
  WorkerRecord record;
};

/** What this VM has seen of one worker. */
struct WorkerStatus {
  WorkerRecord record;
  /** When the worker has warmed up. */
  TimePoint cold_until{};
  /** Last report of its load, and when it came; no report yet if `reported_at` is unset. */
  LoadReport report;
  std::optional<TimePoint> reported_at;
  /** Own requests in progress there, and those among them sent since the report. */
  int in_progress = 0;
  int sent_since_report = 0;
  /** Own requests that ended since the report, but were part of it. */
  int ended_since_report = 0;
  /** Weight of recent failures, halved every kFailureHalfLife. */
  double failure_weight = 0;
  TimePoint failed_at{};
  /** The health endpoint said so until then. */
  TimePoint unhealthy_until{};
};

/**
 * The workers that may be used, from their entries in the store, and what this VM has seen of them.
 *
 * Entries of an earlier start of a worker, or with a lower sequence, change nothing: they can be
 * read late. A worker that is leaving takes no new request at once.
 *
 * While the store is away entries lapse although their workers live. The owner then puts off
 * removals for some time after the store's return.
 */
class WorkerRegistry {
 public:
  WorkerRegistry();
  ~WorkerRegistry();
  WorkerRegistry(const WorkerRegistry&) = delete;
  WorkerRegistry& operator=(const WorkerRegistry&) = delete;

  /** Takes all entries of the store; workers without an entry are removed. */
  std::vector<WorkerEvent> ApplyAll(const std::vector<WorkerEntry>& entries, TimePoint now);

  /** Takes entries that have changed. */
  std::vector<WorkerEvent> Apply(const std::vector<WorkerEntry>& entries, TimePoint now);

  /** Removals that come before `until` take effect at `until`, unless the entry is back. */
  void DeferRemovals(TimePoint until) noexcept;

  /** Performs the removals that are due. */
  std::vector<WorkerEvent> Expire(TimePoint now);

  /** Returns the worker called `id`, or null. Valid until the next change of entries. */
  WorkerStatus* Find(std::string_view id);

  /** Returns the workers of `service` that take new requests. Valid until the next change. */
  std::vector<WorkerStatus*> Usable(std::string_view service);

  /** Returns all workers, for status pages. */
  std::vector<const WorkerStatus*> All() const;

  /** Records a report of the load at `id`. */
  void OnReport(std::string_view id, const LoadReport& report, TimePoint now);

  /** Records that a request was sent to `id`. */
  void OnSent(std::string_view id);

  /** Records that a request at `id` has ended, before OnReport() of its response. */
  void OnEnded(std::string_view id);

  /** Records a failure of a request at `id` that speaks against the worker. */
  void OnFailure(std::string_view id, TimePoint now);

  /** Records a request that `id` served well. */
  void OnSuccess(std::string_view id, TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Returns the failures of `worker` that still count: one failure counts 1, half after a while. */
double FailureWeight(const WorkerStatus& worker, TimePoint now) noexcept;

/** Returns how many requests run or wait at `worker`, from its report and the own ones since. */
int Occupancy(const WorkerStatus& worker) noexcept;

}  // namespace qh::dispatch
