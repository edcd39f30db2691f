#include "quetzalhinge/base/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace qh {

bool IsIpv4Address(std::string_view text) noexcept {
  if (text.size() >= INET_ADDRSTRLEN) {
    return false;
  }
  std::array<char, INET_ADDRSTRLEN> buffer{};
  text.copy(buffer.data(), text.size());
  in_addr address{};
  return inet_pton(AF_INET, buffer.data(), &address) == 1;
}

std::optional<IpEndpoint> ParseIpEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsIpv4Address(text.substr(0, colon))) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size() || port_text.empty()) {
    return std::nullopt;
  }
  return IpEndpoint{std::string(text.substr(0, colon)), port};
}

std::string ToString(const IpEndpoint& endpoint) {
  return endpoint.ip + ":" + std::to_string(endpoint.port);
}

sockaddr_in ToSockaddr(const IpEndpoint& endpoint) noexcept {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

IpEndpoint FromSockaddr(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> buffer{};
  inet_ntop(AF_INET, &address.sin_addr, buffer.data(), buffer.size());
  return IpEndpoint{buffer.data(), ntohs(address.sin_port)};
}

}  // namespace qh
