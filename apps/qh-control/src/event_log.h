#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/timeline/event_ring.h"
#include "quetzalhinge/timeline/hybrid_clock.h"

namespace qh::control {

/** Subject of an event; empty fields do not apply. */
struct EventDetails {
  std::string customer;
  std::string worker;
  std::string detail;
};

/** Ring buffer of the events of this process, with time stamps. */
class EventLog {
 public:
  EventLog(std::string vm, std::size_t capacity);

  /** Adds an event with the current time. */
  void Add(const std::string& kind, EventDetails details);

  /** Returns the retained events that match. */
  std::vector<timeline::Event> Select(const timeline::EventFilter& filter) const;

 private:
  std::string m_vm;
  timeline::HybridClock m_clock;
  timeline::EventRing m_ring;
};

}  // namespace qh::control
