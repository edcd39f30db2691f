#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/net/timer.h"

namespace qh::standin {

/** Tasks that run on the loop after a delay. Destroying this object drops those still waiting. */
class DelayedTasks {
 public:
  explicit DelayedTasks(net::EventLoop& loop);

  /** Runs `task` after `delay`; returns a number for Cancel(). */
  std::uint64_t Start(std::chrono::milliseconds delay, std::function<void()> task);

  /** Drops a task that has not run yet; does nothing for others. */
  void Cancel(std::uint64_t number);

  /** Drops all tasks that wait. */
  void Clear();

 private:
  net::EventLoop& m_loop;
  std::uint64_t m_next = 1;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_timers;
};

}  // namespace qh::standin
