#pragma once

#include <string>

#include "quetzalhinge/timeline/event_ring.h"
#include "quetzalhinge/timeline/hybrid_clock.h"

namespace qh::entry {

/** The time line of this process: stamps events and keeps the last ones. */
class EventLog {
 public:
  /** @param vm name of this VM; @param process program name; @param capacity events kept */
  EventLog(std::string vm, std::string process, std::size_t capacity);

  /** Stamps and adds an event. */
  void Add(const char* kind, const std::string& request_id, const std::string& customer,
           const std::string& worker, std::string detail);

  /** Returns the kept events that match as a JSON array. */
  std::string SelectJson(const timeline::EventFilter& filter) const;

 private:
  std::string m_vm;
  std::string m_process;
  timeline::HybridClock m_clock;
  timeline::EventRing m_ring;
};

/** Parses the JSON form of a filter; unknown or missing fields select all. */
timeline::EventFilter ParseEventFilter(const std::string& json_text);

}  // namespace qh::entry
