#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "quetzalhinge/base/time.h"

namespace qh::standin {

/** Active faults of a worker; StandinWorker documents the members. */
struct WorkerFaults {
  double slow_factor = 1;
  bool fail_fast = false;
  bool drain = false;
  bool drain_refuses = false;
  bool silent = false;
  /** Number of responses still to truncate; -1 for all. */
  std::int64_t cut_answers = 0;
  bool wrong_health = false;
  std::int64_t cold_ms = 0;
  double cold_factor = 1;
  std::int64_t restart_after_ms = 0;

  /**
   * Sets the members that are present in `object`. Throws nlohmann::json::exception if a value has
   * the wrong type.
   */
  void Read(const nlohmann::json& object);

  /** Returns the service time multiplier for a worker that has been up for `up_time`. */
  double ServiceFactor(Duration up_time) const noexcept;
};

}  // namespace qh::standin
