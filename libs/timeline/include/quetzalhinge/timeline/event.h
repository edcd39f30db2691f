#pragma once

#include <string>

#include "quetzalhinge/timeline/hybrid_clock.h"

namespace qh::timeline {

/** One event of the timeline. Fields that do not apply are empty. */
struct Event {
  HybridStamp stamp;
  /** Name of the entry VM, worker or tool where the event occurred. */
  std::string vm;
  /** Program name, for example "qh-entry". */
  std::string process;
  /** Type of event, for example "call_received" or "contract_applied". */
  std::string kind;
  std::string request_id;
  std::string customer;
  std::string worker;
  /** Human-readable details. */
  std::string detail;
};

}  // namespace qh::timeline
