#include "quetzalhinge/timeline/hybrid_clock.h"

#include <algorithm>

namespace qh::timeline {

HybridStamp HybridClock::Tick(UnixMicros now_us) noexcept {
  if (now_us > m_last.wall_us) {
    m_last = {now_us, 0};
  } else {
    ++m_last.counter;
  }
  return m_last;
}

HybridStamp HybridClock::Merge(const HybridStamp& received, UnixMicros now_us) noexcept {
  m_last = std::max(m_last, received);
  return Tick(now_us);
}

}  // namespace qh::timeline
