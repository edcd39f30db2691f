#pragma once

#include <functional>
#include <memory>

#include "call_ledger.h"
#include "scenario.h"

namespace qh::load {

/** Result of a run. */
struct LoadResult {
  LedgerSummary summary;
  /** Whether the execution counts of the workers could be read. */
  bool has_executions = false;
  std::uint64_t address_requests = 0;
  /**
   * Maximum delay between the intended and the actual start of a call. A large value means that
   * qh-load itself was the bottleneck.
   */
  std::chrono::microseconds max_start_delay{0};
};

/**
 * Open-loop run of a scenario: sends each call at its intended time, independent of earlier calls,
 * and compares the outcomes with the execution counts of the workers.
 */
class LoadRun {
 public:
  /** The scenario and the topology must outlive the run. */
  LoadRun(net::EventLoop& loop, const Scenario& scenario, const Topology& topology);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /** Starts the run. `on_done` is called on the loop when the run has ended, also after Stop(). */
  void Start(std::function<void(const LoadResult& result)> on_done);

  /** Starts no more calls; the run ends after those in progress. */
  void Stop();

  /** Returns the calls recorded so far. */
  const CallLedger& Ledger() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::load
