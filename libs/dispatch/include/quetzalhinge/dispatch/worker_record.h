#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::dispatch {

/** State of a worker as stated in its record. */
enum class WorkerState { kReady, kLeaving };

inline constexpr EnumTable<WorkerState, 2> kWorkerStateNames{
    {{{WorkerState::kReady, "ready"}, {WorkerState::kLeaving, "leaving"}}}};

/** Registration of one worker. */
struct WorkerRecord {
  std::string id;
  std::string service;
  IpEndpoint address;
  std::string zone;
  /** Version of the worker's software. */
  std::string software_version;
  /** Number of requests that the worker runs concurrently; at least 1. */
  int slots = 1;
  WorkerState state = WorkerState::kReady;
  /** Remaining warm-up time after the start, at the time when the record was written. */
  std::chrono::milliseconds cold_remaining{0};
  /** Increases with each record that the worker writes after the same start. */
  std::uint64_t sequence = 0;
  /** Unix time in ms at which the worker was started; 0 if unknown. */
  std::uint64_t started_unix_ms = 0;
};

/** Load that a worker reports with a response. */
struct LoadReport {
  /** Requests that are running. */
  int running = 0;
  /** Requests that are queued at the worker. */
  int waiting = 0;
  int slots = 1;
  /** Current duration of work on the machine relative to the normal duration; 1 is normal. */
  double slowdown = 1;
};

}  // namespace qh::dispatch
