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
  /** Called for each waiting connection; has to accept it with a TcpConnection. */
  using AcceptCallback = std::function<void(uv_stream_s* listener)>;

  TcpListener(EventLoop& loop, AcceptCallback on_connection);

  /** Closes the socket; accepted connections go on. */
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /** Starts to listen on `endpoint` (port 0 takes a free one). The error's peer is the address. */
  Result<Success> Listen(const IpEndpoint& endpoint);

  /** Returns the address that the socket is bound to. */
  IpEndpoint LocalEndpoint() const;

 private:
  struct Impl;
  /** Freed by libuv's close callback, after the listener is gone. */
  Impl* m_impl;
};

}  // namespace qh::net
