#pragma once

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace qh {

/** An IPv4 address and a port. Host names are not supported and never resolved. */
struct IpEndpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const IpEndpoint&) const = default;
};

/** Returns whether `text` is an IPv4 address in dotted-decimal notation. */
bool IsIpv4Address(std::string_view text) noexcept;

/** Parses "<ip>:<port>" with a port from 0 to 65535; returns std::nullopt if malformed. */
std::optional<IpEndpoint> ParseIpEndpoint(std::string_view text);

/** Returns "<ip>:<port>". */
std::string ToString(const IpEndpoint& endpoint);

/** Returns the socket address of `endpoint`, whose ip must satisfy IsIpv4Address(). */
sockaddr_in ToSockaddr(const IpEndpoint& endpoint) noexcept;

/** Returns the endpoint of an IPv4 socket address. */
IpEndpoint FromSockaddr(const sockaddr_in& address);

}  // namespace qh
