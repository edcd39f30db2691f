#pragma once

#include "quetzalhinge/base/time.h"

namespace qh::gossip {

/**
 * Detects from gaps between calls that the process did not run, because it was stopped or its VM
 * was suspended. Datagrams that arrived during such a pause wait in the socket and would otherwise
 * be taken for newly sent ones.
 */
class PauseDetector {
 public:
  /** @param max_gap longest time between two calls that does not count as a pause */
  PauseDetector(TimePoint start, Duration max_gap) noexcept;

  /**
   * Records a call at `now`. Call it before each message and each round.
   * @return time since the last call if the process was paused, or zero
   */
  Duration Observe(TimePoint now) noexcept;

  /** Returns the longest time that a message read at `now` may have waited in the socket. */
  Duration MaxQueueDelay(TimePoint now) const noexcept;

 private:
  TimePoint m_last_call;
  Duration m_max_gap;
  Duration m_pause{};
  TimePoint m_resumed_at;
};

}  // namespace qh::gossip
