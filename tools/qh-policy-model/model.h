#pragma once

#include <cstdint>
#include <string>

#include "quetzalhinge/metrics/latency_histogram.h"
#include "quetzalhinge/routing/worker_selector.h"

namespace qh::policy_model {

/** One mix of work and one fault, which starts with the measured time. */
struct Scenario {
  std::string name;
  /** Part of the calls that are long. */
  double long_calls = 0;
  /** Factor on the service times of one worker. */
  double slow_factor = 1;
  /** Whether one worker answers every call with an error at once. */
  bool fails_fast = false;
};

/** Sizes and times of a run that are the same for all scenarios. */
struct RunOptions {
  std::uint64_t seed = 1;
  /** Measured time; calls of the time before are not counted. */
  double seconds = 20;
  /** Work offered as a part of what all slots can do. */
  double utilization = 0.7;
};

/** What the callers saw. */
struct RunResult {
  /** From the arrival of a call at its entry VM; calls that fail count as the deadline. */
  metrics::LatencyHistogram short_latency;
  metrics::LatencyHistogram long_latency;
  std::uint64_t calls = 0;
  std::uint64_t errors = 0;
};

/** Runs one scenario with one policy in virtual time. The same options give the same result. */
RunResult RunModel(const Scenario& scenario, routing::SelectionPolicy policy,
                   const RunOptions& options);

}  // namespace qh::policy_model
