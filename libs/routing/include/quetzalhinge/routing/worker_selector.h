#pragma once

#include <memory>
#include <span>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/worker.h"

namespace qh::routing {

/** The ways to select a worker. */
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

/** What a selector needs to know about a request. */
struct SelectionRequest {
  WorkClass work_class = WorkClass::kUnknown;
  /**
   * Part of each worker's slots that is held back for short work, within [0, 1); from
   * RouteClassifier::ReservedShare().
   */
  double reserved_share = 0;
  /** Ids of workers that must not be selected, for example those that an earlier attempt used. */
  std::span<const std::string> excluded;
};

/** Constants of the selectors; only `load_aware` reads more than the own limit of a worker. */
struct SelectorOptions {
  /** Availability zone of this VM; empty turns the preference off. */
  std::string own_zone;
  /**
   * How many random candidates `load_aware` compares; at least 1. One VM has only few requests in
   * progress at a time, so that two random workers often look alike.
   */
  int choices = 8;
  /** Time constant with which the weight of a load report fades with its age. */
  Duration report_fade = std::chrono::milliseconds(50);
  /** Time constant with which a measured latency fades to the normal one while none is measured. */
  Duration latency_fade = std::chrono::seconds(2);
  /** Time over which a worker that is new or back reaches its full share. */
  Duration slow_start = std::chrono::seconds(5);
  /** Time constant with which recent failures fade; WorkerTableOptions has the same default. */
  Duration failure_window = std::chrono::seconds(2);
};

/**
 * Selects the worker for a request. Implementations never return a worker that is not live, that is
 * excluded, or that has reached its in_progress_limit. They keep no reference to workers between
 * calls.
 */
class WorkerSelector {
 public:
  virtual ~WorkerSelector() = default;

  /**
   * Returns one of `candidates` (WorkerTable::Candidates()), or nullptr for "none now": the caller
   * queues the request and asks again when a request ends or a worker changes its state. "None now"
   * for one class does not imply it for another: short work may be accepted where long work is not.
   */
  virtual const Worker* Select(std::span<const Worker* const> candidates,
                               const SelectionRequest& request, TimePoint now,
                               RandomGenerator& generator) = 0;
};

/** Returns a new selector of the given policy. */
std::unique_ptr<WorkerSelector> MakeWorkerSelector(SelectionPolicy policy,
                                                   const SelectorOptions& options = {});

}  // namespace qh::routing
