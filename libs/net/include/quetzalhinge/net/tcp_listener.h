#pragma once

#include <functional>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::net {

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
  Result<Success> Listen(const IpEndpoint& endpoint);

  /** Returns the address that the socket is bound to, with the actual port. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  /** Owned by the libuv handle: its close callback deletes it after the listener is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
