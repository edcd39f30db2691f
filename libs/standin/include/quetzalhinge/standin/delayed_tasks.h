#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/net/timer.h"

namespace qh::standin {

/** Runs tasks on the event loop after a delay. The destructor cancels all pending tasks. */
class DelayedTasks {
 public:
  explicit DelayedTasks(net::EventLoop& loop);

  /** Schedules `task` to run after `delay`; returns an id for Cancel(). */
  std::uint64_t Start(std::chrono::milliseconds delay, std::function<void()> task);

  /** Cancels a pending task; has no effect if the task has already run or the id is unknown. */
  void Cancel(std::uint64_t id);

  /** Cancels all pending tasks. */
  void Clear();

 private:
  net::EventLoop& m_loop;
  std::uint64_t m_next_id = 1;
  std::map<std::uint64_t, std::unique_ptr<net::Timer>> m_timers;
};

}  // namespace qh::standin
