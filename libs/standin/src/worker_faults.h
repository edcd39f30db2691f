#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "quetzalhinge/base/time.h"

namespace qh::standin {

/** The faults that a worker has at the moment. */
struct WorkerFaults {
  double slow_factor = 1;
  bool fail_fast = false;
  bool drain = false;
  bool drain_refuses = false;
  bool silent = false;
  /** Answers that are still to be cut; -1 for all. */
  std::int64_t cut_answers = 0;
  bool wrong_health = false;
  std::int64_t cold_ms = 0;
  double cold_factor = 1;
  std::int64_t restart_after_ms = 0;

  /** Sets the members that `object` names; throws nlohmann::json::exception on a wrong type. */
  void Read(const nlohmann::json& object);

  /** Returns the factor on service times of a worker that has been up for `up_time`. */
  double ServiceFactor(Duration up_time) const noexcept;
};

}  // namespace qh::standin
