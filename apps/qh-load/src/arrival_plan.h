#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "scenario.h"

namespace qh::load {

/** A planned call. The plan does not depend on the outcomes of earlier calls. */
struct PlannedCall {
  /** Intended start, relative to the start of the run. */
  std::chrono::microseconds start{0};
  /** Index into Scenario::mix. */
  std::size_t mix = 0;
  std::string customer;
  /** Whether the call is sent directly to a worker. */
  bool direct = false;
  /** Unique within a run by its number, and between runs by the random name of the run. */
  std::string id;
};

/** Returns the rate of `phase` in calls per second, `elapsed` after its start. */
double RateAt(const Phase& phase, std::chrono::microseconds elapsed) noexcept;

/**
 * Generates the calls of a scenario in order of their start: Poisson arrivals at the rate of the
 * phase, from the seed of the scenario.
 */
class ArrivalPlan {
 public:
  /**
   * @param scenario must outlive the plan
   * @param run name of the run, which makes the call ids of runs with the same seed different
   */
  ArrivalPlan(const Scenario& scenario, std::string run);

  /** Returns the next call; std::nullopt after the last phase. */
  std::optional<PlannedCall> Next();

 private:
  const Scenario& m_scenario;
  std::string m_run;
  RandomGenerator m_generator;
  std::discrete_distribution<std::size_t> m_mix;
  std::size_t m_phase = 0;
  std::chrono::microseconds m_phase_start{0};
  std::chrono::microseconds m_now{0};
  std::uint64_t m_next_number = 1;
};

}  // namespace qh::load
