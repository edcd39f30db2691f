#pragma once

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/dispatch/worker_registry.h"

namespace qh::dispatch {

/** Tuning parameters of a WorkerPicker. */
struct WorkerPickerOptions {
  /**
   * Maximum age at which a load report is treated as current. Machines change speed every half
   * second, so a report of this age is out of date for one request in 25.
   */
  std::chrono::milliseconds fresh_age{20};
  /**
   * Time constant with which the weight of an older report decays: at this age a reported slowdown
   * has a weight of about a third. Half the time between two changes of a machine's speed.
   */
  std::chrono::milliseconds report_decay{250};
  /** Slowdown that is assumed for a worker without a report. */
  double default_slowdown = 2.0;
  /** Maximum slowdown at which a worker counts as fast. */
  double max_fast_slowdown = 1.6;
  /** Share of a worker's slots that can be in use without slowing the worker down. */
  double target_utilization = 0.8;
  /** Maximum number of workers that are probed in one round. */
  std::size_t probes_per_round = 3;
  /**
   * FailureWeight() at or above which a worker is not preferred, so that it is used only if no
   * preferred worker is found.
   */
  double failing_threshold = 1.5;
  /** Additional round-trip time of a request to a worker in another zone. */
  std::chrono::milliseconds other_zone_cost{3};
  /** Factor on the expected time of a worker that is still warming up. */
  double cold_slowdown = 2.0;
  /** Number of requests in excess of its slots at which a worker counts as full. */
  int max_queued_requests = 2;
};

/** The request that a worker is picked for. */
struct PickRequest {
  std::string service;
  /** Zone of this VM. */
  std::string zone;
  /** Time that the request takes on a worker with a slowdown of 1. */
  std::chrono::milliseconds expected_work{200};
  /** Ids of workers that must not be picked, for example those of earlier attempts. */
  std::set<std::string> excluded;
};

/** Longest wait of a Pick, also used if no worker's limit allows this VM any request. */
inline constexpr std::chrono::seconds kMaxLimitWait{2};

/** Next step for a request that has no worker yet. */
enum class PickStep {
  /** Send it to `worker`. */
  kSend,
  /** Probe the workers in `probes` and decide again when one of them has responded. */
  kProbe,
  /** `worker`, which has the least expected time, is full; the others would take longer. */
  kFull,
  /** All workers are at the limits that they state; the first one may be sent to after `wait`. */
  kLimited,
  /** No usable worker: the service has none, or all are excluded. */
  kNone,
};

/** Result of WorkerPicker::Decide(). */
struct Pick {
  PickStep step = PickStep::kNone;
  /** Id of the worker; empty for kProbe, kLimited and kNone. */
  std::string worker;
  /** Ids of the workers to probe; only for kProbe. */
  std::vector<std::string> probes;
  /** Reason for the decision, for the log. */
  const char* reason = "";
  /** Time until a request may be sent; only for kLimited. */
  Duration wait{};
};

/**
 * Picks the worker that is expected to complete a request first. The machines of workers change
 * speed within a fraction of a second, so a load report counts in full only while it is fresh. If
 * no worker has a fresh report that shows a fast machine and a free slot, a few workers are probed
 * first: those in the zone of this VM before the others, each by expected time. A worker that is at
 * the limit that it states is not considered. Stateless.
 */
class WorkerPicker {
 public:
  explicit WorkerPicker(const WorkerPickerOptions& options = {});

  /**
   * Decides on the next step for `request`.
   * @param probed ids of the workers that have already been probed for this request
   * @param may_probe whether the request has enough time left for another round of probes
   */
  Pick Decide(WorkerRegistry& registry, const PickRequest& request,
              const std::set<std::string>& probed, bool may_probe, TimePoint now,
              RandomGenerator& random) const;

  /**
   * Returns whether a request can be sent to `worker` without a probe: its report is fresh and
   * shows a fast machine, it has a free slot, and it is warm, healthy and not failing.
   */
  bool IsPreferred(const WorkerStatus& worker, TimePoint now) const noexcept;

  /** Returns the expected duration of `request` if it is sent to `worker` now. */
  std::chrono::microseconds ExpectedTime(const WorkerStatus& worker, const PickRequest& request,
                                         TimePoint now) const noexcept;

 private:
  WorkerPickerOptions m_options;
};

}  // namespace qh::dispatch
