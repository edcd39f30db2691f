#pragma once

#include <chrono>

#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/**
 * Pace of the waits for changes of one table at the store. A pause between two waits lets changes
 * in quick succession need one request only; it grows with each wait that ends early. Pause and
 * wait together never last longer than the read cycle. Pure: takes the time as an argument.
 */
class ReadPace {
 public:
  /** @param apply_within time within which a change must take effect */
  explicit ReadPace(std::chrono::milliseconds apply_within);

  /** Returns the longest time from one response of the store to the next. */
  std::chrono::milliseconds Cycle() const noexcept { return m_cycle; }

  /** Returns for how long the next wait may last. */
  std::chrono::milliseconds Wait() const noexcept { return m_cycle - m_pause; }

  /** Returns the earliest time for the next wait. */
  TimePoint NotBefore() const noexcept { return m_not_before; }

  /** Records that a wait, or a read of the whole table, has ended. */
  void OnEnded(TimePoint started_at, TimePoint now);

 private:
  std::chrono::milliseconds m_cycle;
  std::chrono::milliseconds m_min_pause;
  std::chrono::milliseconds m_max_pause;
  std::chrono::milliseconds m_pause;
  TimePoint m_not_before{};
};

}  // namespace qh::gateway
