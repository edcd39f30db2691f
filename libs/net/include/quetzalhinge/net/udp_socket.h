#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::net {

/** A UDP socket bound to one address. */
class UdpSocket {
 public:
  /** Called for each datagram, with its sender and content. */
  using ReceiveCallback = std::function<void(const IpEndpoint& from, std::string_view data)>;

  UdpSocket(EventLoop& loop, ReceiveCallback on_receive);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /** Binds to `endpoint` (port 0 takes a free one) and starts to receive. */
  Result<Success> Bind(const IpEndpoint& endpoint);

  /** Returns the address that the socket is bound to. */
  IpEndpoint LocalEndpoint() const;

  /**
   * Sends one datagram without waiting. Returns false if the kernel did not take it; datagrams may
   * be lost anyway, so callers only count this.
   */
  bool Send(const IpEndpoint& to, std::string_view data) noexcept;

 private:
  struct Impl;
  /** Freed by libuv's close callback, after the socket is gone. */
  Impl* m_impl;
};

}  // namespace qh::net
