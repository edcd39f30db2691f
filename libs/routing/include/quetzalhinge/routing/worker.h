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
  /** Finishes the requests that it holds and receives no new work. */
  kLeaving,
  /** No longer in the VM list; remembered for a while so that late signs do not add it again. */
  kGone,
};

/** Stable names of the worker states. */
inline constexpr EnumTable<WorkerState, 3> kWorkerStateNames{{{
    {WorkerState::kLive, "live"},
    {WorkerState::kLeaving, "leaving"},
    {WorkerState::kGone, "gone"},
}}};

/** Where a sign about a worker's state came from. */
enum class ObservationSource {
  /** The platform's list of live and leaving VMs, which lags. */
  kVmList,
  /** A response header of the worker (x-qh-draining). */
  kResponseHeader,
  /** The worker's health endpoint, which may lag or mislead. */
  kHealthEndpoint,
  /** A notice from another entry VM. */
  kNotice,
};

/** Stable names of the sources of signs. */
inline constexpr EnumTable<ObservationSource, 4> kObservationSourceNames{{{
    {ObservationSource::kVmList, "vm_list"},
    {ObservationSource::kResponseHeader, "response_header"},
    {ObservationSource::kHealthEndpoint, "health_endpoint"},
    {ObservationSource::kNotice, "notice"},
}}};

/** One sign that a worker is live, leaving or gone. */
struct WorkerObservation {
  WorkerState state = WorkerState::kLive;
  ObservationSource source = ObservationSource::kVmList;
  /** When the source saw the state. For a response header: the time of the response. */
  UnixMicros stamp = 0;
  /** Run of the worker process that the sign is about; empty if the source does not know it. */
  std::string incarnation;
};

/** What the VM list says about a worker. Identity and size; never state. */
struct WorkerInfo {
  /** Stable name, the same on every entry VM (for example "<ip>:<port>"). */
  std::string id;
  std::string service;
  IpEndpoint endpoint;
  std::string zone;
  /** Requests that the worker runs at the same time; at least 1. */
  int slots = 6;
};

/** A worker's own figure of its load (header x-qh-load or load endpoint). */
struct LoadReport {
  /** Requests at the worker from all entry VMs, waiting ones included. */
  int in_progress = 0;
  int slots = 0;
  /** When the figure was taken as far as this VM can tell; at the latest when it was received. */
  TimePoint measured_at;
};

/** How a request to a worker ended, as far as it tells something about the worker. */
enum class RequestOutcome {
  /** The worker answered; its latency counts. */
  kSucceeded,
  /** Connection refused or reset, truncated response, or a 5xx status of the worker. */
  kFailed,
  /** The worker shed the request before it ran (x-qh-not-run). */
  kShed,
  /** No answer within the deadline; the time waited counts as a latency. */
  kTimedOut,
  /** Cancelled by this VM or its caller; tells nothing about the worker. */
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
 * A worker as this VM sees it. Read by selectors and by status pages; written only by WorkerTable,
 * which keeps its rules.
 */
struct Worker {
  WorkerInfo info;

  WorkerState state = WorkerState::kLive;
  /** Stamp of the sign that set `state`, or of the newest sign that confirmed a leave. */
  UnixMicros state_stamp = 0;
  /** When this VM applied that sign, by its own monotonic clock. */
  TimePoint state_applied;
  /** Whether the worker has been leaving or gone before; late signs of that leave may follow. */
  bool has_left = false;
  /** Newest known run of the worker process; empty if no sign named one. */
  std::string incarnation;
  /** When the worker became live here (new or back); slow start counts from it. */
  TimePoint live_since;

  /** Own requests in progress by WorkClass; never negative. */
  std::array<int, kWorkClasses> in_progress{};
  /** Most own requests in progress that this VM sends at the same time; at least 1. */
  int in_progress_limit = 14;

  /** The newest load report by its time, if any. */
  std::optional<LoadReport> report;
  /** Own requests in progress when `report` arrived; the report includes about as many. */
  int own_at_report = 0;

  /**
   * Latency relative to what the work was expected to take, as an EWMA over about 1 s. 1 is normal;
   * nothing if no request has ended yet.
   */
  std::optional<double> latency_ratio;
  /** Latency of short work in microseconds, as an EWMA over about 1 s; nothing until one ended. */
  std::optional<double> short_latency_us;
  /** When the EWMA was last updated. */
  TimePoint latency_updated;

  /** Failures and sheds, each decaying from 1 with time; see WorkerTable::RecentFailures(). */
  double failures = 0;
  /** When `failures` was last updated. */
  TimePoint failures_updated;

  /** Hash of the id. */
  std::uint64_t id_hash = 0;
  /**
   * Place among the live workers of the service in an order that all VMs agree on and that merges
   * the availability zones evenly. Short work prefers the first places, long work the last ones.
   */
  int rank = 0;

  /** Returns own requests in progress of `work_class`. */
  int InProgress(WorkClass work_class) const noexcept {
    return in_progress[static_cast<std::size_t>(work_class)];
  }

  /** Returns own requests in progress of all classes. */
  int InProgress() const noexcept { return in_progress[0] + in_progress[1] + in_progress[2]; }
};

}  // namespace qh::routing
