#pragma once

#include <string>

#include "quetzalhinge/timeline/event_ring.h"
#include "quetzalhinge/timeline/hybrid_clock.h"

namespace qh::entry {

/** The timeline of this process: adds time stamps to events and retains the latest ones. */
class EventLog {
 public:
  /**
   * @param vm name of this VM
   * @param process name of the program
   * @param capacity maximum number of retained events
   */
  EventLog(std::string vm, std::string process, std::size_t capacity);

  /** Adds an event with the current time stamp. */
  void Add(const char* kind, const std::string& request_id, const std::string& customer,
           const std::string& worker, std::string detail);

  /** Returns the retained events that match `filter` as a JSON array. */
  std::string SelectJson(const timeline::EventFilter& filter) const;

 private:
  std::string m_vm;
  std::string m_process;
  timeline::HybridClock m_clock;
  timeline::EventRing m_ring;
};

/**
 * Parses a filter from a JSON object. Missing fields do not restrict the selection, unknown fields
 * are ignored. Text that is not a JSON object, or a field of the wrong type, gives a filter that
 * selects all events.
 */
timeline::EventFilter ParseEventFilter(const std::string& json_text);

}  // namespace qh::entry
