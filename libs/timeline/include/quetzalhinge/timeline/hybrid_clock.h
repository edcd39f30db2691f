#pragma once

#include <compare>
#include <cstdint>

#include "quetzalhinge/base/time.h"

namespace qh::timeline {

/** A hybrid logical timestamp: wall-clock microseconds and a counter for events within one. */
struct HybridStamp {
  UnixMicros wall_us = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridStamp&) const = default;
};

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014). An event gets a later
 * stamp than the events that caused it, even if the wall clocks of the VMs differ.
 */
class HybridClock {
 public:
  /**
   * Returns the stamp of a local event or of a message to be sent.
   * @param now_us current wall-clock time
   */
  HybridStamp Tick(UnixMicros now_us) noexcept;

  /** Merges the stamp of a received message; returns a stamp later than it and all earlier ones. */
  HybridStamp Merge(const HybridStamp& received, UnixMicros now_us) noexcept;

 private:
  HybridStamp m_last;
};

}  // namespace qh::timeline
