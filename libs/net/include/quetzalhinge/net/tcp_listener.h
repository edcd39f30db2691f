#pragma once

#include <functional>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::net {

/** What pending and accepted connections may use in the kernel. */
struct TcpListenOptions {
  /** Maximum number of pending connections. The kernel reduces it to its own limit. */
  int backlog = 1024;
  /**
   * Size of the buffer for bytes that a connection has received and that are not read; 0 for the
   * kernel's choice, which grows to megabytes.
   */
  int receive_buffer_bytes = 0;
};

/** A listening TCP socket. */
class TcpListener {
 public:
  /** Called for each pending connection. It must accept it by constructing a TcpConnection. */
  using AcceptCallback = std::function<void(uv_stream_s* listener)>;

  TcpListener(EventLoop& loop, AcceptCallback on_connection);

  /** Closes the socket. Accepted connections stay open. */
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /** Starts to listen on `endpoint`. Port 0 selects a free port. An error names the address. */
  Result<Success> Listen(const IpEndpoint& endpoint, const TcpListenOptions& options = {});

  /** Returns the address that the socket is bound to, with the actual port. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  /** Owned by the libuv handle: its close callback deletes it after the listener is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
