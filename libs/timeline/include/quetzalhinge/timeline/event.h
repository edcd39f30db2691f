#pragma once

#include <string>

#include "quetzalhinge/timeline/hybrid_clock.h"

namespace qh::timeline {

/** One event of the time line. Fields that do not apply are empty. */
struct Event {
  HybridStamp stamp;
  /** Name of the entry VM, worker or tool at which the event took place. */
  std::string vm;
  /** Program, for example "qh-entry". */
  std::string process;
  /** What happened, for example "call_received" or "contract_applied". */
  std::string kind;
  std::string request_id;
  std::string customer;
  std::string worker;
  /** Further detail for people. */
  std::string detail;
};

}  // namespace qh::timeline
