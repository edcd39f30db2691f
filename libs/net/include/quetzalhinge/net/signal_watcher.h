#pragma once

#include <functional>

#include "quetzalhinge/net/event_loop.h"

namespace qh::net {

/** Calls back on the loop when the process receives SIGTERM or SIGINT, and on SIGHUP if asked. */
class SignalWatcher {
 public:
  /** @param on_stop_signal runs for each signal, with how many have come so far (from 1) */
  SignalWatcher(EventLoop& loop, std::function<void(int count)> on_stop_signal);

  /** Calls `on_reload` for each SIGHUP, which otherwise ends the process. */
  void OnReloadSignal(std::function<void()> on_reload);

  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct Impl;
  /** Freed by libuv's close callbacks, after the watcher is gone. */
  Impl* m_impl;
};

}  // namespace qh::net
