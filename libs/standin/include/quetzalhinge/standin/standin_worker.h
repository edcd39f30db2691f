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
  /** Port 0 takes a free one. */
  IpEndpoint listen;
  /** Requests that run at the same time. */
  int slots = 6;
  /** Requests that wait for a slot; those beyond are shed. */
  int queue_length = 0;
  /** Connections beyond this many are answered 503 and closed. */
  std::size_t max_connections = 220;
  std::vector<RouteTimes> routes;
  /** Filling of each answer. */
  std::size_t padding_bytes = 256;
  /** A request whose body holds this text crashes the worker. */
  std::string crash_marker = "qh-crash-worker";
  /**
   * Whether a crash ends the process. Otherwise it closes the listener and all connections, which
   * looks the same from outside, and other workers of the process and the counts of executions
   * stay.
   */
  bool crash_exits = false;
  std::uint64_t seed = 1;
};

/** Number of executions by request key. */
using ExecutionCounts = std::unordered_map<std::string, std::uint32_t>;

/**
 * A backend server as docs/interfaces.md describes it, with faults. Each execution is counted when
 * it takes a slot, by `idempotency-key`, or by `x-qh-request-id` for requests without one.
 *
 * Served beside the work: GET /health, GET /standin/executions, GET /standin/state and
 * POST /standin/faults with any of
 *   "slow_factor": n       service times are multiplied by n
 *   "fail_fast": bool      500 at once
 *   "drain": bool          answers carry x-qh-draining, the health endpoint says draining
 *   "drain_refuses": bool  new work is also refused while draining
 *   "silent": bool         requests are read and never answered
 *   "cut_answers": n       the next n answers end in mid-body (-1: all)
 *   "wrong_health": bool   the health endpoint says live and idle
 *   "cold_ms": n, "cold_factor": n
 *                          service times are n times as long, falling to 1 within cold_ms
 *   "crash": true          crashes now
 *   "restart_after_ms": n  a crashed worker listens again after n (default 0: never)
 */
class StandinWorker {
 public:
  StandinWorker(net::EventLoop& loop, const StandinWorkerOptions& options);
  ~StandinWorker();
  StandinWorker(const StandinWorker&) = delete;
  StandinWorker& operator=(const StandinWorker&) = delete;

  /** Starts to listen. The error's peer is the address. */
  Result<Success> Start();

  /** Returns the address that the worker listens on. */
  IpEndpoint LocalEndpoint() const;

  /** Returns the options. */
  const StandinWorkerOptions& Options() const noexcept;

  /** Switches faults; throws nlohmann::json::exception if a value has a wrong type. */
  void ApplyFaults(const nlohmann::json& faults);

  /** Returns the executions since the start. */
  const ExecutionCounts& Executions() const noexcept;

  /** Returns name, service, counts and the start of the last execution after draining began. */
  nlohmann::json State() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
