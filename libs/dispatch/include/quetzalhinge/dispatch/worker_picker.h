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

/** Times and weights of a WorkerPicker. */
struct WorkerPickerOptions {
  /**
   * Age up to which a report counts as the present. Machines change speed every half second; a
   * report of this age is out of date for one request in 25.
   */
  std::chrono::milliseconds fresh_age{20};
  /** Age at which a reported speed is worth about a third: half the time between two changes. */
  std::chrono::milliseconds speed_memory{250};
  /** Slowdown that is expected where nothing is known. */
  double usual_slowdown = 2.0;
  /** Up to this slowdown a machine counts as fast. */
  double fast_slowdown = 1.6;
  /** Part of a worker's slots up to which it works at full speed. */
  double comfortable_fill = 0.8;
  /** Workers that one round of probes asks. */
  std::size_t probes_per_round = 3;
  /** Failures that still count, above which a worker is used only when there is no other. */
  double failing_weight = 1.5;
  /** Time that a request to a worker in another zone costs more, there and back. */
  std::chrono::milliseconds other_zone_cost{3};
  /** How much longer work takes on a worker that is not warm yet. */
  double cold_slowdown = 2.0;
  /** Requests at a worker beyond its slots from which on it is full. */
  int tolerated_waiting = 2;
};

/** The request that a worker is picked for. */
struct PickRequest {
  std::string service;
  /** Zone of this VM. */
  std::string zone;
  /** Time that the work takes at usual speed. */
  std::chrono::milliseconds expected_work{200};
  /** Workers that this request must not go to (again). */
  std::set<std::string> excluded;
};

/** What to do next for a request without a worker. */
enum class PickStep {
  /** Send it to `worker`. */
  kSend,
  /** Ask `probes`, and pick again when one has answered. */
  kProbe,
  /** All workers are full or too slow for now; `worker` is the least bad. */
  kFull,
  /** No worker may be used. */
  kNone,
};

/** The decision of WorkerPicker::Pick(). */
struct Pick {
  PickStep step = PickStep::kNone;
  std::string worker;
  std::vector<std::string> probes;
  /** Why, for the log. */
  const char* reason = "";
};

/**
 * Picks the worker that will finish a request first, for workers whose machines turn slow and fast
 * again within a fraction of a second. A reported speed and load counts only while it is fresh, so
 * a request without a fresh, fast worker with a free slot probes a few workers first: the likely
 * ones of the own zone, then of the others. Pure: keeps no state of its own.
 */
class WorkerPicker {
 public:
  explicit WorkerPicker(const WorkerPickerOptions& options = {});

  /**
   * Decides on the next step.
   * @param asked workers that were already probed for this request
   * @param may_probe whether another round of probes fits into the request's time
   */
  Pick Decide(WorkerRegistry& registry, const PickRequest& request,
              const std::set<std::string>& asked, bool may_probe, TimePoint now,
              RandomGenerator& random) const;

  /** Returns whether `worker` is known at this moment to be fast, free and well. */
  bool IsPreferred(const WorkerStatus& worker, TimePoint now) const noexcept;

  /** Returns the time that a request sent now is expected to take at `worker`. */
  std::chrono::microseconds ExpectedTime(const WorkerStatus& worker, const PickRequest& request,
                                         TimePoint now) const noexcept;

 private:
  WorkerPickerOptions m_options;
};

}  // namespace qh::dispatch
