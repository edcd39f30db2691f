#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::dispatch {

/** What a worker says of itself. */
enum class WorkerState { kReady, kLeaving };

inline constexpr EnumTable<WorkerState, 2> kWorkerStateNames{
    {{{WorkerState::kReady, "ready"}, {WorkerState::kLeaving, "leaving"}}}};

/** One worker as it has registered itself. */
struct WorkerRecord {
  std::string id;
  std::string service;
  IpEndpoint address;
  std::string zone;
  /** Version of its software. */
  std::string software_version;
  /** Requests that it runs at the same time; at least 1. */
  int slots = 1;
  WorkerState state = WorkerState::kReady;
  /** How much longer the worker stays slow after its start, as of the record. */
  std::chrono::milliseconds cold_remaining{0};
  /** Grows with each report of one start of the worker. */
  std::uint64_t sequence = 0;
  /** Unix time in ms at which this start of the worker began; 0 if it does not say. */
  std::uint64_t started_unix_ms = 0;
};

/** What a worker tells of its load with a response. */
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  /** How long work takes on its machine now, relative to the usual time; 1 is as usual. */
  double slowdown = 1;
};

}  // namespace qh::dispatch
