#pragma once

#include <capnp/capability.h>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/rpc/kj_event_loop.h"

namespace qh::rpc {

/** Limits on the connections whose clients are not authenticated. */
struct RpcServerLimits {
  /** Number of these connections at which a new one replaces the oldest. */
  std::size_t max_unauthenticated = std::numeric_limits<std::size_t>::max();
  /** Bytes after which such a connection is closed; enough to open a session. */
  std::size_t max_unauthenticated_bytes = 64 * 1024;
  /** Size of the kernel's buffer for received bytes; 0 for the kernel's choice. */
  int receive_buffer_bytes = 0;
};

/** A connection as its bootstrap capability sees it. */
class RpcSession {
 public:
  virtual ~RpcSession() = default;

  /** Lifts the limits for this connection, whose client has proved that it knows the key. */
  virtual void SetAuthenticated() = 0;
};

/** Accepts Cap'n Proto RPC connections. */
class RpcServer {
 public:
  /**
   * Creates the bootstrap capability of a connection. Called once per connection, so that the
   * capability can contain a nonce.
   */
  using BootstrapFactory =
      std::function<capnp::Capability::Client(std::shared_ptr<RpcSession> session)>;

  RpcServer(KjEventLoop& kj_loop, const IpEndpoint& listen, BootstrapFactory factory,
            const RpcServerLimits& limits = {});

  /** Closes the listener and all connections. */
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /** Starts listening; port 0 selects a free port. */
  Result<Success> Start();

  /** Returns the address that the server listens on. */
  IpEndpoint LocalEndpoint() const;

  std::size_t OpenConnections() const noexcept;

  /** Returns how many connections without authentication were closed for new ones. */
  std::size_t ReplacedConnections() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::rpc
