#pragma once

#include <functional>

#include "quetzalhinge/net/event_loop.h"

namespace qh::net {

/** Runs callbacks on the loop when the process receives SIGTERM, SIGINT or, optionally, SIGHUP. */
class SignalWatcher {
 public:
  /** @param on_stop_signal runs for each SIGTERM or SIGINT; `count` is their number so far */
  SignalWatcher(EventLoop& loop, std::function<void(int count)> on_stop_signal);

  /** Sets the callback for SIGHUP. Without it, SIGHUP ends the process. */
  void OnReloadSignal(std::function<void()> on_reload);

  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct Impl;
  /** Deleted by the last close callback of libuv after the watcher is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
