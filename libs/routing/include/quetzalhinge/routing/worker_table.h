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

/** Parameters of a WorkerTable. */
struct WorkerTableOptions {
  /** Determines the workers of a service that this VM uses. */
  SubsetOptions subset;
  /**
   * Minimum time between the last observation of a leave and a return to live by the VM list
   * without a new incarnation. The list is delayed, so an earlier "live" entry may predate the
   * leave.
   */
  Duration list_return_delay = std::chrono::seconds(10);
  /**
   * Time for which a gone worker is retained, so that a late observation does not add it again as
   * live. Longer than the delay of the VM list.
   */
  Duration gone_retention = std::chrono::seconds(60);
  /** Time constant of the latency EWMA. */
  Duration latency_window = std::chrono::seconds(1);
  /** Time constant of the decay of recent failures. */
  Duration failure_window = std::chrono::seconds(2);
};

/** Result of a request to a worker. */
struct RequestEnd {
  /** The class that was passed to Started(). */
  WorkClass work_class = WorkClass::kUnknown;
  RequestOutcome outcome = RequestOutcome::kSucceeded;
  /** Time from sending the request to the end of the response. */
  Duration latency{};
  /** The route's median latency (RouteProfile::median); zero if it is not known. */
  Duration expected{};
};

/**
 * The workers of each service as known to this VM, with the rules by which observations change
 * their state. Does not read a clock: the caller passes the time. Pointers to workers stay valid
 * until EraseGone().
 */
class WorkerTable {
 public:
  explicit WorkerTable(const WorkerTableOptions& options);
  ~WorkerTable();
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  /**
   * Adds a worker, or updates its endpoint, zone and slots. A new worker gets the state of
   * `observation`; it is not added if that is kGone. For a known worker, `observation` is applied
   * as in Apply(). Only the VM list may add workers. The service of a known worker cannot change:
   * such a call has no effect until the worker has been erased.
   * @return whether the worker was added or its state changed
   */
  bool Upsert(const WorkerInfo& info, const WorkerObservation& observation, TimePoint now);

  /**
   * Applies an observation of a known worker. Rules:
   * - "leaving" takes effect from any source. It is ignored as a late observation of an earlier
   *   leave only if its stamp is not newer than that of the observation that made the worker live,
   *   and either it names another incarnation, or the worker has left before and the source is the
   *   list or a notice. Stamps of different clocks are not compared otherwise, so clock skew cannot
   *   hide a first leave.
   * - "live" of a leaving worker takes effect only if its stamp is newer than that of the last
   *   observation of the leave, and it either names another incarnation than the one that left
   *   (both must be known) or comes from the VM list at least list_return_delay after that
   *   observation, by its stamp and by the clock of this VM.
   * - "gone" takes effect only from the VM list. A gone worker returns to live by the same rule as
   *   a leaving one.
   * @return whether the state changed; false, without effect, if the worker is unknown. After a
   *     change the caller publishes a notice, unless the source is a notice.
   */
  bool Apply(std::string_view id, const WorkerObservation& observation, TimePoint now);

  /**
   * Erases workers that have been gone for gone_retention and have no requests of this VM in
   * progress. Call it about once a second.
   */
  void EraseGone(TimePoint now);

  /** Returns the worker `id`, or nullptr. */
  const Worker* Find(std::string_view id) const noexcept;

  /** Returns all workers of `service` ordered by id, including leaving and gone ones. */
  std::vector<const Worker*> WorkersOf(std::string_view service) const;

  /**
   * Returns the live workers of `service` within this VM's subset, for WorkerSelector::Select().
   * Valid until the next call of Upsert(), Apply() or EraseGone(). Empty for an unknown service.
   */
  std::span<const Worker* const> Candidates(std::string_view service) const noexcept;

  /** Returns how many connections this VM may open to each worker of `service`; at least 1. */
  int ConnectionsPerWorker(std::string_view service) const noexcept;

  /**
   * Records that a request of this VM has started at worker `id`.
   * @return false, without effect, if the worker is unknown or not live
   */
  bool Started(std::string_view id, WorkClass work_class);

  /**
   * Records the end of a request that was passed to Started(), with its outcome and latency.
   * @return false, without effect, if no request of that class is in progress at worker `id`
   */
  bool Finished(std::string_view id, const RequestEnd& end, TimePoint now);

  /** Stores `report` if it was measured after the stored one. Unknown workers are ignored. */
  void Report(std::string_view id, const LoadReport& report);

  /** Sets Worker::in_progress_limit, for example from an adaptive concurrency limit; at least 1. */
  void SetInProgressLimit(std::string_view id, int limit) noexcept;

  /** Returns the number of failures of `worker`, each decaying exponentially from 1, at `now`. */
  double RecentFailures(const Worker& worker, TimePoint now) const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routing
