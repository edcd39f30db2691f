#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/standin/service_times.h"

namespace qh::standin {

/** Options of a StandinWorker. */
struct StandinWorkerOptions {
  std::string name = "worker-1";
  std::string service = "katalog";
  /** Port 0 selects a free port. */
  IpEndpoint listen;
  /** Largest number of requests that run concurrently. */
  int slots = 6;
  /** Largest number of requests that wait for a slot; further requests are shed. */
  int queue_length = 0;
  /** While more connections are open, requests get 503 and their connections are closed. */
  std::size_t max_connections = 220;
  std::vector<RouteTimes> routes;
  /** Bytes of padding in each response. */
  std::size_t padding_bytes = 256;
  /** A request whose body contains this text crashes the worker. Empty: none does. */
  std::string crash_marker = "qh-crash-worker";
  /**
   * Whether a crash ends the process. Otherwise a crash closes the listener and all connections of
   * this worker: clients see the same, but other workers in the process and the execution counts
   * are not affected.
   */
  bool crash_exits = false;
  std::uint64_t seed = 1;
};

/** Number of executions by idempotency key or request id. */
using ExecutionCounts = std::unordered_map<std::string, std::uint32_t>;

/**
 * Simulated backend server with the interface of docs/interfaces.md and injectable faults. An
 * execution is counted when a request takes a slot, by `idempotency-key`, or by `x-qh-request-id`
 * for requests without a key.
 *
 * Besides requests to the service, it handles GET /health, GET /standin/executions,
 * GET /standin/state and POST /standin/faults with any of
 *   "slow_factor": n       multiplies service times by n
 *   "fail_fast": bool      answers with 500 immediately
 *   "drain": bool          adds x-qh-draining to responses; the health endpoint reports draining
 *   "drain_refuses": bool  also refuses new requests while draining
 *   "silent": bool         reads requests and never answers them
 *   "cut_answers": n       truncates the bodies of the next n responses (-1: all)
 *   "wrong_health": bool   the health endpoint always reports a live, idle worker
 *   "cold_ms": n, "cold_factor": n
 *                          multiplies service times by cold_factor at first, decreasing linearly to
 *                          1 over cold_ms
 *   "crash": true          crashes the worker
 *   "restart_after_ms": n  a crashed worker listens again after n ms (default 0: never)
 * Members that are absent keep their value.
 */
class StandinWorker {
 public:
  StandinWorker(net::EventLoop& loop, const StandinWorkerOptions& options);
  ~StandinWorker();
  StandinWorker(const StandinWorker&) = delete;
  StandinWorker& operator=(const StandinWorker&) = delete;

  /** Listens on the configured address. On failure, the error's peer is this address. */
  Result<Success> Start();

  /** Returns the address that the worker listens on. */
  IpEndpoint LocalEndpoint() const;

  const StandinWorkerOptions& Options() const noexcept;

  /** Sets faults; throws nlohmann::json::exception if a value has the wrong type. */
  void ApplyFaults(const nlohmann::json& faults);

  /** Returns the execution counts since construction; they survive a simulated crash. */
  const ExecutionCounts& Executions() const noexcept;

  /**
   * Returns the name, the service, counters, and the time from the start of draining to the start
   * of the last execution, in ms (-1 if there was none).
   */
  nlohmann::json State() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
