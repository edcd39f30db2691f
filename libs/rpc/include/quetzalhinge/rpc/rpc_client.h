#pragma once

#include <capnp/capability.h>

#include <functional>
#include <memory>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/rpc/kj_event_loop.h"

namespace qh::rpc {

/**
 * One Cap'n Proto RPC connection to a server. A connection that has ended is not opened again: make
 * a new client for that.
 */
class RpcClient {
 public:
  /** Starts to connect at once. */
  RpcClient(KjEventLoop& kj_loop, const IpEndpoint& peer);

  /** Closes the connection; calls in progress fail. */
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /**
   * Returns the server's first capability. Calls on it wait for the connection and fail if it
   * cannot be made or is lost.
   */
  capnp::Capability::Client Bootstrap();

  /** Runs `callback` once when the connection has failed or ended; not after destruction. */
  void OnDisconnect(std::function<void()> callback);

  /** Returns whether the connection has failed or ended. */
  bool IsDisconnected() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::rpc
