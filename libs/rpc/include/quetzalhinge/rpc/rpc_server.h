#pragma once

#include <capnp/capability.h>

#include <functional>
#include <memory>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/rpc/kj_event_loop.h"

namespace qh::rpc {

/** Accepts Cap'n Proto RPC connections. */
class RpcServer {
 public:
  /**
   * Creates the bootstrap capability of a connection. Called once per connection, so that the
   * capability can contain a nonce.
   */
  using BootstrapFactory = std::function<capnp::Capability::Client()>;

  RpcServer(KjEventLoop& kj_loop, const IpEndpoint& listen, BootstrapFactory factory);

  /** Closes the listener and all connections. */
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /** Starts listening; port 0 selects a free port. */
  Result<Success> Start();

  /** Returns the address that the server listens on. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::rpc
