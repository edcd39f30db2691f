#pragma once

#include <functional>
#include <memory>

#include "quetzalhinge/base/time.h"

struct uv_loop_s;

namespace qh::net {

/** A libuv event loop. Each process has one loop and runs all its work on it, in one thread. */
class EventLoop {
 public:
  EventLoop();

  /** Closes all remaining handles. Objects that use the loop must be destroyed before it. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop() is called. */
  void Run();

  /** Makes Run() return after the current iteration. */
  void Stop() noexcept;

  /** Runs one iteration: waits at most `limit` for events and runs their callbacks. */
  void RunOnce(std::chrono::milliseconds limit);

  /** Queues `task` for a later iteration of the loop; it never runs within this call. */
  void Post(std::function<void()> task);

  /**
   * Extends the lifetime of `object` until the loop has closed all its handles. For objects of
   * other libraries whose handles cannot be closed earlier.
   */
  void KeepUntilClosed(std::shared_ptr<void> object);

  /** Returns the current monotonic time. */
  TimePoint Now() const noexcept { return std::chrono::steady_clock::now(); }

  /** Returns the libuv loop, for code that connects other libraries to it. */
  uv_loop_s* Handle() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::net
