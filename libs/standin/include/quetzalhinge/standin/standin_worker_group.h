#pragma once

#include <memory>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/standin/standin_worker.h"

namespace qh::standin {

/** Options of a StandinWorkerGroup. */
struct StandinWorkerGroupOptions {
  /** HTTP address of the control API for all workers; port 0 selects a free port. */
  IpEndpoint control;
  std::vector<StandinWorkerOptions> workers;
};

/**
 * Several workers in one process, each with a separate address and state. The control address
 * serves POST /standin/faults (for the workers selected by a member "worker" or "service", or for
 * all workers if both are absent), GET /standin/executions (sum over all workers), and
 * GET /standin/state.
 */
class StandinWorkerGroup {
 public:
  StandinWorkerGroup(net::EventLoop& loop, const StandinWorkerGroupOptions& options);
  ~StandinWorkerGroup();
  StandinWorkerGroup(const StandinWorkerGroup&) = delete;
  StandinWorkerGroup& operator=(const StandinWorkerGroup&) = delete;

  /** Listens on all addresses. On failure, the error's peer is the address concerned. */
  Result<Success> Start();

  /** Returns the control address. */
  IpEndpoint ControlEndpoint() const;

  /** Returns the workers in the order of the options. */
  const std::vector<std::unique_ptr<StandinWorker>>& Workers() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
