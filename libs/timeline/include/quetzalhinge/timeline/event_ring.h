#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/timeline/event.h"

namespace qh::timeline {

/** Filter for events. Empty fields match all events; times are inclusive, and 0 is no bound. */
struct EventFilter {
  std::string request_id;
  std::string customer;
  std::string worker;
  std::string vm;
  UnixMicros from_us = 0;
  UnixMicros until_us = 0;

  /** Returns whether `event` matches all fields that are set. */
  bool Matches(const Event& event) const;
};

/**
 * Ring buffer of the latest events of a process. Texts are cut to kMaxTextBytes, because some of
 * them come from callers.
 */
class EventRing {
 public:
  static constexpr std::size_t kMaxTextBytes = 256;

  /** Memory of an event that has the longest texts of a caller and of a worker. */
  static constexpr std::size_t kLongEventBytes = 4 * kMaxTextBytes;

  /** @param capacity maximum number of events, at least 1 */
  explicit EventRing(std::size_t capacity);

  /** Adds `event` and overwrites the oldest one if the ring is full. */
  void Add(Event event);

  /** Returns the stored events that match `filter`, oldest first. */
  std::vector<Event> Select(const EventFilter& filter) const;

  /** Returns the number of events that have been overwritten by newer ones. */
  std::size_t Dropped() const noexcept { return m_dropped; }

 private:
  std::vector<Event> m_events;
  std::size_t m_capacity;
  std::size_t m_next = 0;
  std::size_t m_dropped = 0;
};

/** Merges the events of several processes and sorts them by stamp. */
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> parts);

}  // namespace qh::timeline
