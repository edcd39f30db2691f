#pragma once

#include <cstdint>
#include <string>

#include "quetzalhinge/metrics/latency_histogram.h"
#include "quetzalhinge/routing/worker_selector.h"

namespace qh::policy_model {

/**
 * A mix of short and long calls, optionally with one faulty worker. The fault starts when the
 * measured period starts, so the warm-up runs without it.
 */
struct Scenario {
  std::string name;
  /** Fraction of calls that are long, 0 to 1. */
  double long_call_share = 0;
  /** Multiplies the service times of the faulty worker. 1 means no slowdown. */
  double slow_factor = 1;
  /** Whether the faulty worker fails every call almost immediately. */
  bool fails_fast = false;
};

/** Settings of a run that are the same for all scenarios. */
struct RunOptions {
  std::uint64_t seed = 1;
  /** Virtual length of the measured period. Calls that arrive in the warm-up are not counted. */
  double measured_seconds = 20;
  /** Offered load as a fraction of the capacity of all worker slots. */
  double utilization = 0.7;
};

/** Latencies and errors as seen by the callers. */
struct RunResult {
  /**
   * Latencies are measured from the arrival of a call at its entry VM. A failed call is recorded
   * with the full deadline as its latency.
   */
  metrics::LatencyHistogram short_latency;
  metrics::LatencyHistogram long_latency;
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
};

/** Simulates one scenario with one policy in virtual time. Deterministic for equal arguments. */
RunResult RunModel(const Scenario& scenario, routing::SelectionPolicy policy,
                   const RunOptions& options);

}  // namespace qh::policy_model
