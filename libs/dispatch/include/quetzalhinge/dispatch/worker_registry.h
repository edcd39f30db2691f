#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/dispatch/worker_limits.h"
#include "quetzalhinge/dispatch/worker_record.h"

namespace qh::dispatch {

/** One worker's entry as read from the store. */
struct WorkerEntry {
  std::string id;
  /** Not set if the entry was removed or cannot be parsed; the worker is then removed. */
  std::optional<WorkerRecord> record;
};

/** Change of a worker's status in the registry. */
enum class WorkerChange {
  kJoined,
  /** The worker was started again, or has another address or service; its status is reset. */
  kRestarted,
  kLeaving,
  /** The worker was leaving or its removal was deferred, and it is ready again. */
  kReturned,
  kRemoved,
  /** The entry is missing, but the removal is deferred; see DeferRemovals(). */
  kRemovalDeferred,
};

inline constexpr EnumTable<WorkerChange, 6> kWorkerChangeNames{{{
    {WorkerChange::kJoined, "joined"},
    {WorkerChange::kRestarted, "restarted"},
    {WorkerChange::kLeaving, "leaving"},
    {WorkerChange::kReturned, "back"},
    {WorkerChange::kRemoved, "removed"},
    {WorkerChange::kRemovalDeferred, "removal_put_off"},
}}};

/** A change and the worker it concerns. */
struct WorkerEvent {
  WorkerChange change = WorkerChange::kJoined;
  /** The current record; the last known one for kRemoved and kRemovalDeferred. */
  WorkerRecord record;
};

/** A worker's record with the load and the failures that this VM has observed. */
struct WorkerStatus {
  WorkerRecord record;
  /** End of the warm-up time. */
  TimePoint cold_until{};
  /** Most recent load report; valid only if `reported_at` is set. */
  LoadReport report;
  /** Time at which `report` was received. */
  std::optional<TimePoint> reported_at;
  /** Requests of this VM that are in progress at the worker. */
  int in_progress = 0;
  /** Requests that this VM has sent since `report`. */
  int sent_since_report = 0;
  /** Requests of this VM that have ended since `report`. */
  int ended_since_report = 0;
  /** Weight of recent failures as of `failed_at`; see FailureWeight(). */
  double failure_weight = 0;
  /** Time at which `failure_weight` was last updated. */
  TimePoint failed_at{};
  /**
   * The worker counts as unhealthy until then, because a probe failed or its health endpoint
   * reported so.
   */
  TimePoint unhealthy_until{};
};

/**
 * Registry of workers, built from their entries in the store, with the load and the failures that
 * this VM has observed.
 *
 * Entries can be read late and out of order. An entry of an earlier start of a worker, or one with
 * a lower sequence number, is therefore ignored. A worker that is leaving gets no new requests from
 * then on.
 *
 * While the store is unavailable, entries expire although their workers are alive. The owner
 * therefore defers removals with DeferRemovals() for some time after the end of the outage.
 */
class WorkerRegistry {
 public:
  WorkerRegistry();
  ~WorkerRegistry();
  WorkerRegistry(const WorkerRegistry&) = delete;
  WorkerRegistry& operator=(const WorkerRegistry&) = delete;

  /** Applies a complete list of entries; workers without an entry are removed. */
  std::vector<WorkerEvent> ApplyAll(const std::vector<WorkerEntry>& entries, TimePoint now);

  /** Applies changed entries; other workers are not affected. */
  std::vector<WorkerEvent> Apply(const std::vector<WorkerEntry>& entries, TimePoint now);

  /**
   * Defers removals that are requested before `until` to the first Expire() at or after `until`. A
   * new entry of the worker cancels its removal. Workers that are leaving are removed immediately.
   */
  void DeferRemovals(TimePoint until) noexcept;

  /** Performs the deferred removals that are due. */
  std::vector<WorkerEvent> Expire(TimePoint now);

  /** Returns the worker with this id, or null. Valid until the next change of entries. */
  WorkerStatus* Find(std::string_view id);

  /** Returns the workers of `service` that accept requests. Valid until the next change. */
  std::vector<WorkerStatus*> Usable(std::string_view service);

  /** Returns all workers, for status pages. */
  std::vector<const WorkerStatus*> All() const;

  /** Records a load report of worker `id`. */
  void OnReport(std::string_view id, const LoadReport& report, TimePoint now);

  /** Records that this VM has sent a request to worker `id`, also for its limit. */
  void OnSent(std::string_view id, TimePoint now);

  /** Returns the limits that workers state. Forgets those of removed and restarted workers. */
  WorkerLimits& Limits() noexcept;

  /** Records that a request at worker `id` has ended. Call it before OnReport() of its response. */
  void OnEnded(std::string_view id);

  /** Records a failed request for which worker `id` is responsible. */
  void OnFailure(std::string_view id, TimePoint now);

  /** Records a successful request at worker `id`; reduces the weight of its failures. */
  void OnSuccess(std::string_view id, TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Returns the weight of recent failures at `now`: 1 for each failure, halved every 2 s. */
double FailureWeight(const WorkerStatus& worker, TimePoint now) noexcept;

/**
 * Returns the estimated number of requests that run or wait at `worker`: those of its last report,
 * corrected by the requests that this VM has sent and completed since.
 */
int Occupancy(const WorkerStatus& worker) noexcept;

}  // namespace qh::dispatch
