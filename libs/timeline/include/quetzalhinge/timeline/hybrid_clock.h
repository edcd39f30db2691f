#pragma once

#include <compare>
#include <cstdint>

#include "quetzalhinge/base/time.h"

namespace qh::timeline {

/** A hybrid logical clock stamp: wall-clock microseconds and a counter that orders within them. */
struct HybridStamp {
  UnixMicros wall_us = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridStamp&) const = default;
};

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014). An event that was caused
 * by another one gets a later stamp, also when the clocks of their VMs disagree.
 */
class HybridClock {
 public:
  /** Returns a stamp for a local event or a message to be sent. `now_us` is the wall clock. */
  HybridStamp Tick(UnixMicros now_us) noexcept;

  /** Takes the stamp of a received message into account and returns a later one. */
  HybridStamp Merge(const HybridStamp& received, UnixMicros now_us) noexcept;

 private:
  HybridStamp m_last;
};

}  // namespace qh::timeline
