#pragma once

#include <functional>
#include <string>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::standin {

/** What a ProxyStream reports. Not called after Close(). */
struct ProxyStreamEvents {
  std::function<void(std::string data)> on_data;
  /** The peer ended or reset the connection, or connecting failed. */
  std::function<void()> on_end;
};

/** One TCP connection of a proxy. */
class ProxyStream {
 public:
  ProxyStream(net::EventLoop& loop, ProxyStreamEvents events);

  /** Closes the connection. */
  ~ProxyStream();
  ProxyStream(const ProxyStream&) = delete;
  ProxyStream& operator=(const ProxyStream&) = delete;

  /** Takes a connection from a listener and starts to read. */
  bool Accept(uv_stream_s* listener);

  /** Connects and starts to read; data written earlier waits. */
  void Connect(const IpEndpoint& peer);

  /** Writes `data`. */
  void Write(std::string data);

 private:
  struct Impl;
  /** Freed by libuv's close callback, after the stream is gone. */
  Impl* m_impl;
};

}  // namespace qh::standin
