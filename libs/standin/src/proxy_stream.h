#pragma once

#include <functional>
#include <string>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::standin {

/** Callbacks of a ProxyStream. None is called after the stream's destruction. */
struct ProxyStreamEvents {
  std::function<void(std::string data)> on_data;
  /** The peer closed or reset the connection, or the connection attempt failed. */
  std::function<void()> on_end;
};

/** One TCP connection of a proxy, to a caller or to an upstream server. */
class ProxyStream {
 public:
  ProxyStream(net::EventLoop& loop, ProxyStreamEvents events);

  /** Closes the connection. */
  ~ProxyStream();
  ProxyStream(const ProxyStream&) = delete;
  ProxyStream& operator=(const ProxyStream&) = delete;

  /** Accepts a connection from `listener` and starts reading; returns false on failure. */
  bool Accept(uv_stream_s* listener);

  /** Connects to `peer` and starts reading. Data written before is sent once connected. */
  void Connect(const IpEndpoint& peer);

  void Write(std::string data);

 private:
  struct Impl;
  /** Freed by libuv's close callback, which runs after the destructor. */
  Impl* m_impl;
};

}  // namespace qh::standin
