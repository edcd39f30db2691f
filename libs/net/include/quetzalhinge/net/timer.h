#pragma once

#include <chrono>
#include <functional>

#include "quetzalhinge/net/event_loop.h"

namespace qh::net {

/** A timer on an EventLoop. Destroying it stops it; the callback never runs after that. */
class Timer {
 public:
  /** @param callback runs on the loop; it may start, stop or destroy the timer */
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Runs the callback once after `delay`; replaces an earlier start. */
  void StartOnce(std::chrono::milliseconds delay);

  /** Runs the callback every `interval`, first after `interval`; replaces an earlier start. */
  void StartRepeating(std::chrono::milliseconds interval);

  /** Stops the timer; does nothing if it is not running. */
  void Stop();

 private:
  struct Impl;
  /** Freed by libuv's close callback, after the timer is gone. */
  Impl* m_impl;
};

}  // namespace qh::net
