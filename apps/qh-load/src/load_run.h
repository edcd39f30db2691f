#pragma once

#include <functional>
#include <memory>

#include "call_ledger.h"
#include "scenario.h"

namespace qh::load {

/** Result of a run. */
struct LoadResult {
  LedgerSummary summary;
  /** Whether the workers' execution counts could be read. */
  bool has_executions = false;
  std::uint64_t address_questions = 0;
  /** The largest delay of a call's start on this side; large values mean that qh-load itself was
   * the bottleneck. */
  std::chrono::microseconds max_start_delay{0};
};

/**
 * Sends the calls of a scenario at their intended times, whatever earlier calls do, and compares
 * their outcomes with the workers' execution counts.
 */
class LoadRun {
 public:
  /** The scenario and the topology must outlive the run. */
  LoadRun(net::EventLoop& loop, const Scenario& scenario, const Topology& topology);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /** Begins; `on_done` is called on the loop when everything has ended or Stop() took effect. */
  void Start(std::function<void(const LoadResult& result)> on_done);

  /** Starts no more calls; the run ends when those in progress have. */
  void Stop();

  /** Returns the calls so far. */
  const CallLedger& Ledger() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::load
