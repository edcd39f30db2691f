#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/work_class.h"

namespace qh::routing {

/** Whether a worker may receive new work. */
enum class WorkerState {
  /** Receives new work. */
  kLive,
  /** Completes its requests in progress and receives no new work. */
  kLeaving,
  /** Not in the VM list any more; retained so that late observations do not add it again. */
  kGone,
};

/** Stable names of the worker states. */
inline constexpr EnumTable<WorkerState, 3> kWorkerStateNames{{{
    {WorkerState::kLive, "live"},
    {WorkerState::kLeaving, "leaving"},
    {WorkerState::kGone, "gone"},
}}};

/** Source of an observation of a worker's state. */
enum class ObservationSource {
  /** The platform's list of live and leaving VMs, which is updated with a delay. */
  kVmList,
  /** The response header x-qh-draining of the worker. */
  kResponseHeader,
  /** The worker's health endpoint, which may be late or wrong. */
  kHealthEndpoint,
  /** A notice from another entry VM. */
  kNotice,
};

/** Stable names of the sources of observations. */
inline constexpr EnumTable<ObservationSource, 4> kObservationSourceNames{{{
    {ObservationSource::kVmList, "vm_list"},
    {ObservationSource::kResponseHeader, "response_header"},
    {ObservationSource::kHealthEndpoint, "health_endpoint"},
    {ObservationSource::kNotice, "notice"},
}}};

/** One observation that a worker is live, leaving or gone. */
struct WorkerObservation {
  WorkerState state = WorkerState::kLive;
  ObservationSource source = ObservationSource::kVmList;
  /** Time at which the source observed the state; for a response header, of the response. */
  UnixMicros stamp = 0;
  /** Incarnation (one run of the worker process) that was observed; empty if unknown. */
  std::string incarnation;
};

/** Identity and size of a worker from the VM list; does not include its state. */
struct WorkerInfo {
  /** Name of the worker, the same on every entry VM (for example "<ip>:<port>"). */
  std::string id;
  std::string service;
  IpEndpoint endpoint;
  std::string zone;
  /** Number of requests that the worker runs concurrently; at least 1. */
  int slots = 6;
};

/** Load reported by a worker in the header x-qh-load or at its load endpoint. */
struct LoadReport {
  /** Number of running and waiting requests at the worker, from all entry VMs. */
  int in_progress = 0;
  int slots = 0;
  /** Time of the measurement as known to this VM; not later than the time of receipt. */
  TimePoint measured_at;
};

/** Outcome of a request to a worker, as an indication of the worker's health. */
enum class RequestOutcome {
  /** The worker responded; the latency is recorded. */
  kSucceeded,
  /** Connection refused or reset, truncated response, or a 5xx status of the worker. */
  kFailed,
  /** The worker shed the request before it ran (x-qh-not-run). */
  kShed,
  /** No response within the deadline; the time waited is recorded as the latency. */
  kTimedOut,
  /** Cancelled by this VM or its caller; says nothing about the worker. */
  kCancelled,
};

/** Stable names of the request outcomes. */
inline constexpr EnumTable<RequestOutcome, 5> kRequestOutcomeNames{{{
    {RequestOutcome::kSucceeded, "succeeded"},
    {RequestOutcome::kFailed, "failed"},
    {RequestOutcome::kShed, "shed"},
    {RequestOutcome::kTimedOut, "timed_out"},
    {RequestOutcome::kCancelled, "cancelled"},
}}};

/**
 * State of a worker as known to this VM. Read by selectors and by status pages; written only by
 * WorkerTable, which enforces the rules for changes of state.
 */
struct Worker {
  WorkerInfo info;

  WorkerState state = WorkerState::kLive;
  /** Stamp of the observation that set `state` or, if newer, of the last that confirmed a leave. */
  UnixMicros state_stamp = 0;
  /** Time at which this VM applied that observation, by its own monotonic clock. */
  TimePoint state_applied;
  /** Whether the worker has ever been leaving or gone, so that late observations may follow. */
  bool has_left = false;
  /** Newest known incarnation; empty if no observation has named one. */
  std::string incarnation;
  /** Time at which the worker last became live at this VM; the start of its slow start. */
  TimePoint live_since;

  /** Requests of this VM in progress by WorkClass; never negative. */
  std::array<int, kWorkClasses> in_progress{};
  /** Maximum number of requests of this VM in progress at the worker; at least 1. */
  int in_progress_limit = 14;

  /** The most recently measured load report, if any. */
  std::optional<LoadReport> report;
  /** Requests of this VM in progress when `report` arrived; the report includes about as many. */
  int in_progress_at_report = 0;

  /**
   * Latency relative to the expected latency, as an EWMA over about 1 s; 1 is normal. Not set if no
   * latency has been recorded yet.
   */
  std::optional<double> latency_ratio;
  /** Latency of short work in microseconds, as an EWMA over about 1 s; not set if unknown. */
  std::optional<double> short_latency_us;
  /** Time at which the EWMAs were last updated. */
  TimePoint latency_updated;

  /** Decaying number of failed, shed and timed-out requests; see WorkerTable::RecentFailures(). */
  double failures = 0;
  /** Time at which `failures` was last updated. */
  TimePoint failures_updated;

  /** Hash of the id; determines `rank`. */
  std::uint64_t id_hash = 0;
  /**
   * Position among the live workers of the service, in an order that is the same on all VMs and
   * interleaves the availability zones. Short work prefers low ranks, long work high ones.
   */
  int rank = 0;

  /** Returns the number of requests of this VM in progress of `work_class`. */
  int InProgress(WorkClass work_class) const noexcept {
    return in_progress[static_cast<std::size_t>(work_class)];
  }

  /** Returns the number of requests of this VM in progress of all classes. */
  int InProgress() const noexcept { return in_progress[0] + in_progress[1] + in_progress[2]; }
};

}  // namespace qh::routing
