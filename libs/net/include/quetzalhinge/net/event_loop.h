#pragma once

#include <functional>
#include <memory>

#include "quetzalhinge/base/time.h"

struct uv_loop_s;

namespace qh::net {

/** A libuv loop. Everything that a process does runs on its one loop, in one thread. */
class EventLoop {
 public:
  EventLoop();

  /** Closes what is still open on the loop. Objects that use the loop must be gone by then. */
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until Stop() is called. */
  void Run();

  /** Makes Run() return after the current round of callbacks. */
  void Stop() noexcept;

  /** Waits for events once, for `limit` at most, and runs their callbacks. */
  void RunOnce(std::chrono::milliseconds limit);

  /** Runs `task` in a later round of the loop, never from within this call. */
  void Post(std::function<void()> task);

  /**
   * Keeps `object` until the loop has closed all its handles, for objects of other libraries whose
   * handles cannot be closed earlier.
   */
  void KeepUntilClosed(std::shared_ptr<void> object);

  /** Returns the monotonic time now. */
  TimePoint Now() const noexcept { return std::chrono::steady_clock::now(); }

  /** Returns the libuv handle, for modules that bind other libraries to the loop. */
  uv_loop_s* Handle() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::net
