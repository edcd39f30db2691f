#pragma once

#include <kj/async.h>

#include <memory>
#include <string>

#include "quetzalhinge/net/event_loop.h"

namespace qh::rpc {

/**
 * Runs the KJ event loop, which Cap'n Proto RPC is built on, within a libuv event loop. At most one
 * may exist per thread. All Cap'n Proto RPC objects must be used only during its lifetime.
 */
class KjEventLoop {
 public:
  explicit KjEventLoop(net::EventLoop& loop);
  ~KjEventLoop();
  KjEventLoop(const KjEventLoop&) = delete;
  KjEventLoop& operator=(const KjEventLoop&) = delete;

  /**
   * Owns `promise` until it completes. Exceptions are ignored: a caller that needs to handle
   * failures must attach an error handler to `promise`.
   */
  void Detach(kj::Promise<void> promise);

  /** Returns the libuv event loop. */
  net::EventLoop& Loop() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Returns the description of a KJ exception, for use as Error::detail. */
std::string DescribeException(const kj::Exception& exception);

}  // namespace qh::rpc
