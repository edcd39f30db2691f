#pragma once

#include <memory>
#include <span>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/worker.h"

namespace qh::routing {

/** Algorithms for the selection of a worker. */
enum class SelectionPolicy {
  kRandom,
  kRoundRobin,
  kLeastRequests,
  kLoadAware,
};

/** Stable names of the policies, as used in settings. */
inline constexpr EnumTable<SelectionPolicy, 4> kSelectionPolicyNames{{{
    {SelectionPolicy::kRandom, "random"},
    {SelectionPolicy::kRoundRobin, "round_robin"},
    {SelectionPolicy::kLeastRequests, "least_requests"},
    {SelectionPolicy::kLoadAware, "load_aware"},
}}};

/** Properties of a request that a selector uses. */
struct SelectionRequest {
  WorkClass work_class = WorkClass::kUnknown;
  /**
   * Share of each worker's slots that is reserved for short work, within [0, 1); from
   * RouteClassifier::ReservedShare().
   */
  double reserved_share = 0;
  /** Ids of workers that must not be selected, for example those that an earlier attempt used. */
  std::span<const std::string> excluded;
};

/** Parameters of `load_aware`. The other policies use only a worker's in_progress_limit. */
struct SelectorOptions {
  /** Availability zone of this VM, which is preferred; empty for no preference. */
  std::string own_zone;
  /**
   * Number of random candidates that `load_aware` compares; at least 1. One VM has only few
   * requests in progress at a time, so that two random workers often have the same cost.
   */
  int choices = 8;
  /** Time constant of the decay of a load report's weight. */
  Duration report_decay = std::chrono::milliseconds(50);
  /** Time constant with which a latency ratio returns to 1 without new measurements. */
  Duration latency_decay = std::chrono::seconds(2);
  /** Time until a worker that has become live gets its full share of requests. */
  Duration slow_start = std::chrono::seconds(5);
  /** Time constant of the decay of failures; WorkerTableOptions has the same default. */
  Duration failure_window = std::chrono::seconds(2);
};

/**
 * Selects the worker for a request. Implementations never return a worker that is not live, that is
 * excluded, or that has reached its in_progress_limit. They hold no reference to workers
 * between calls.
 */
class WorkerSelector {
 public:
  virtual ~WorkerSelector() = default;

  /**
   * Returns one of `candidates` (WorkerTable::Candidates()), or nullptr if none can be selected
   * now. The caller then queues the request and calls Select() again when a request ends or a
   * worker changes its state. The result depends on the work class: a worker may be available for
   * short work while it is not for long work.
   */
  virtual const Worker* Select(std::span<const Worker* const> candidates,
                               const SelectionRequest& request, TimePoint now,
                               RandomGenerator& generator) = 0;
};

/** Returns a new selector of the given policy. */
std::unique_ptr<WorkerSelector> MakeWorkerSelector(SelectionPolicy policy,
                                                   const SelectorOptions& options = {});

}  // namespace qh::routing
