#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/worker.h"
#include "quetzalhinge/routing/worker_subset.h"

namespace qh::routing {

/** Constants of a WorkerTable. */
struct WorkerTableOptions {
  /** Which of a service's workers this VM uses. */
  SubsetOptions subset;
  /**
   * How long after the last sign of a leave the VM list may bring a worker back without naming a
   * new incarnation. The list lags, so an earlier "live" entry may predate the leave.
   */
  Duration list_return_delay = std::chrono::seconds(10);
  /**
   * How long a gone worker is remembered, so that a late sign does not add it again as live. Longer
   * than the lag of the VM list.
   */
  Duration gone_retention = std::chrono::seconds(60);
  /** Time constant of the latency EWMA. */
  Duration latency_window = std::chrono::seconds(1);
  /** Time constant with which recent failures fade. */
  Duration failure_window = std::chrono::seconds(2);
};

/** A request that ended at a worker. */
struct RequestEnd {
  /** The class that was given to Started(). */
  WorkClass work_class = WorkClass::kUnknown;
  RequestOutcome outcome = RequestOutcome::kSucceeded;
  /** From sending the request to the end of the response. */
  Duration latency{};
  /** The route's median latency (RouteProfile::median); zero if it is not known. */
  Duration expected{};
};

/**
 * The workers of each service as this VM sees them, with the rules by which signs change their
 * state. Pure: the caller passes the time. Pointers to workers stay valid until EraseGone().
 */
class WorkerTable {
 public:
  explicit WorkerTable(const WorkerTableOptions& options);
  ~WorkerTable();
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  /**
   * Adds a worker or updates its endpoint, zone and slots. State does not come from here, except
   * that a worker that is new to the table starts as `sign` says; for a known one `sign` counts as
   * in Apply(). Only the VM list may add workers. The service of a known worker cannot change: such
   * a call has no effect until the worker has been erased.
   * @return whether the worker was added or its state changed
   */
  bool Upsert(const WorkerInfo& info, const WorkerObservation& sign, TimePoint now);

  /**
   * Applies a sign about a known worker. Rules:
   * - "leaving" takes effect from any source. It is ignored as a late sign of an earlier leave only
   *   if its stamp is not newer than the sign that made the worker live, and it names another
   *   incarnation, or the worker has left before and the source is the list or a notice. (Stamps of
   *   different clocks decide nothing else, so skew cannot hide a first leave.)
   * - "live" about a leaving worker takes effect only if it is newer by its stamp than the last
   *   sign of the leave, and it either names another incarnation than the one that left (both must
   *   be known) or comes
   *   from the VM list at least list_return_delay after that sign (by stamp and by own clock).
   * - "gone" counts only from the VM list. A gone worker returns by the same rule as a leaving one.
   * @return whether the state changed; the caller then publishes a notice if the source is not one
   *     (nothing happens and false is returned for an unknown worker)
   */
  bool Apply(std::string_view id, const WorkerObservation& sign, TimePoint now);

  /**
   * Erases workers that have been gone for gone_retention and have no own request in progress.
   * Call it about once a second.
   */
  void EraseGone(TimePoint now);

  /** Returns the worker `id`, or nullptr. */
  const Worker* Find(std::string_view id) const noexcept;

  /** Returns all workers of `service` in the order of their ids, leaving and gone ones included. */
  std::vector<const Worker*> WorkersOf(std::string_view service) const;

  /**
   * Returns the live workers of `service` within this VM's subset, for WorkerSelector::Select().
   * Valid until the next call of Upsert(), Apply() or EraseGone(). Empty for an unknown service.
   */
  std::span<const Worker* const> Candidates(std::string_view service) const noexcept;

  /** Returns how many connections this VM may open to each worker of `service`; at least 1. */
  int ConnectionsPerWorker(std::string_view service) const noexcept;

  /**
   * Counts an own request as in progress at worker `id`.
   * @return false, without effect, if the worker is unknown or not live
   */
  bool Started(std::string_view id, WorkClass work_class);

  /**
   * Takes back one Started() and learns from how the request ended.
   * @return false, without effect, if no request of that class is in progress at worker `id`
   */
  bool Finished(std::string_view id, const RequestEnd& end, TimePoint now);

  /** Keeps `report` if it is newer than the one held. Unknown workers are ignored. */
  void Report(std::string_view id, const LoadReport& report);

  /** Sets Worker::in_progress_limit, for example from an adaptive concurrency limit; at least 1. */
  void SetInProgressLimit(std::string_view id, int limit) noexcept;

  /** Returns the failures of `worker` that still count at `now`; each starts as 1 and fades. */
  double RecentFailures(const Worker& worker, TimePoint now) const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routing
