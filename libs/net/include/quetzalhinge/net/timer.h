#pragma once

#include <chrono>
#include <functional>

#include "quetzalhinge/net/event_loop.h"

namespace qh::net {

/** A timer on an EventLoop. The callback does not run after the timer is destroyed. */
class Timer {
 public:
  /** @param callback runs on the loop and may start, stop or destroy the timer */
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Runs the callback once after `delay`. Replaces an earlier start. */
  void StartOnce(std::chrono::milliseconds delay);

  /** Runs the callback every `interval`, first after one `interval`. Replaces an earlier start. */
  void StartRepeating(std::chrono::milliseconds interval);

  /** Stops the timer. Does nothing if it is not running. */
  void Stop();

 private:
  struct Impl;
  /** Owned by the libuv handle: its close callback deletes it after the timer is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
