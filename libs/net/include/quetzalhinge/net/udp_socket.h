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
  /** Called for each datagram with its sender and content. */
  using ReceiveCallback = std::function<void(const IpEndpoint& from, std::string_view data)>;

  UdpSocket(EventLoop& loop, ReceiveCallback on_receive);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /** Binds to `endpoint` and starts to receive. Port 0 selects a free port. */
  Result<Success> Bind(const IpEndpoint& endpoint);

  /** Returns the address that the socket is bound to, with the actual port. */
  IpEndpoint LocalEndpoint() const;

  /**
   * Sends one datagram without blocking. Returns false if the kernel did not accept it. Since
   * datagrams may be lost anyway, callers only count such failures.
   */
  bool Send(const IpEndpoint& to, std::string_view data) noexcept;

 private:
  struct Impl;
  /** Owned by the libuv handle: its close callback deletes it after the socket is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
