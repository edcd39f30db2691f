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

/** A call as the scenario plans it, independent of how earlier calls end. */
struct PlannedCall {
  /** Time of the intended start, from the start of the run. */
  std::chrono::microseconds start{0};
  /** Index into Scenario::mix. */
  std::size_t mix = 0;
  std::string customer;
  /** Whether the call goes straight to a worker. */
  bool direct = false;
  /** Unique in the run and, by its random part, between runs. */
  std::string id;
};

/** Returns the rate of `phase` in calls a second, `elapsed` after its start. */
double RateAt(const Phase& phase, std::chrono::microseconds elapsed) noexcept;

/** The calls of a scenario in order: random arrivals at the rate of the phase, from a fixed seed.
 */
class ArrivalPlan {
 public:
  /** @param run distinguishes the keys of runs with the same seed */
  ArrivalPlan(const Scenario& scenario, std::string run);

  /** Returns the next call, or nothing after the last phase. */
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
