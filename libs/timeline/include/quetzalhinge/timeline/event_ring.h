#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/timeline/event.h"

namespace qh::timeline {

/** Selects events. An empty field selects all; times are inclusive, 0 means no bound. */
struct EventFilter {
  std::string request_id;
  std::string customer;
  std::string worker;
  std::string vm;
  UnixMicros from_us = 0;
  UnixMicros until_us = 0;

  /** Returns whether `event` passes all set conditions. */
  bool Matches(const Event& event) const;
};

/** The last events of a process, at most `capacity` of them. */
class EventRing {
 public:
  /** @param capacity number of events kept; at least 1 */
  explicit EventRing(std::size_t capacity);

  /** Adds `event` and drops the oldest one if the ring is full. */
  void Add(Event event);

  /** Returns the kept events that match, oldest first. */
  std::vector<Event> Select(const EventFilter& filter) const;

  /** Returns how many events were dropped because newer ones took their place. */
  std::size_t Dropped() const noexcept { return m_dropped; }

 private:
  std::vector<Event> m_events;
  std::size_t m_capacity;
  std::size_t m_next = 0;
  std::size_t m_dropped = 0;
};

/** Merges the events of several processes into the order of their stamps. */
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> parts);

}  // namespace qh::timeline
