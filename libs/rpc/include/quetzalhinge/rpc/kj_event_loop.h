#pragma once

#include <kj/async.h>

#include <memory>
#include <string>

#include "quetzalhinge/net/event_loop.h"

namespace qh::rpc {

/**
 * Runs KJ's promises, on which Cap'n Proto RPC is built, on a libuv loop. One per thread;
 * everything of Cap'n Proto RPC must be used while it exists.
 */
class KjEventLoop {
 public:
  explicit KjEventLoop(net::EventLoop& loop);
  ~KjEventLoop();
  KjEventLoop(const KjEventLoop&) = delete;
  KjEventLoop& operator=(const KjEventLoop&) = delete;

  /**
   * Keeps `promise` running until it ends. An exception ends it quietly: handlers that care about
   * failures put their own error handler at the end of the promise.
   */
  void Detach(kj::Promise<void> promise);

  /** Returns the libuv loop. */
  net::EventLoop& Loop() noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Returns the description of a KJ exception for an Error's detail. */
std::string DescribeException(const kj::Exception& exception);

}  // namespace qh::rpc
