#pragma once

#include "quetzalhinge/base/time.h"

namespace qh::gossip {

/**
 * Notices from gaps between its calls that the process stood still, because it was stopped or its
 * VM suspended. Datagrams that came meanwhile wait in the socket and look as if just sent.
 */
class PauseDetector {
 public:
  /** @param max_gap time between two calls that is still usual */
  PauseDetector(TimePoint start, Duration max_gap) noexcept;

  /**
   * Call it before each message and each round.
   * @return how long the process has stood still since the last call, or zero
   */
  Duration Observe(TimePoint now) noexcept;

  /** Returns how long a message that is read now may have waited in the socket, at most. */
  Duration MaxQueueDelay(TimePoint now) const noexcept;

 private:
  TimePoint m_last_call;
  Duration m_max_gap;
  Duration m_pause{};
  TimePoint m_resumed_at;
};

}  // namespace qh::gossip
