#pragma once

#include <capnp/capability.h>

#include <functional>
#include <memory>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/rpc/kj_event_loop.h"

namespace qh::rpc {

/**
 * A Cap'n Proto RPC connection to a server. It does not reconnect: create a new client after the
 * connection has failed or closed.
 */
class RpcClient {
 public:
  /** Starts connecting to `peer`. */
  RpcClient(KjEventLoop& kj_loop, const IpEndpoint& peer);

  /** Closes the connection; calls in progress fail. */
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /**
   * Returns the server's bootstrap capability. Calls on it wait until the connection is
   * established, and fail if connecting fails or the connection is lost.
   */
  capnp::Capability::Client Bootstrap();

  /** Sets the callback to run once when the connection fails or closes; not after destruction. */
  void OnDisconnect(std::function<void()> callback);

  /** Returns whether the connection has failed or closed. */
  bool IsDisconnected() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::rpc
