#include "quetzalhinge/testing/raw_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <stdexcept>

namespace qh::test {
namespace {

constexpr std::size_t kReadBytes = 4096;

sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

int ListenRaw(const std::string& ip, std::uint16_t port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    close(listener);
    throw std::runtime_error("cannot listen on " + ip + ": " + std::strerror(errno));
  }
  return listener;
}

int ConnectRaw(const std::string& ip, std::uint16_t port) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(connection);
    throw std::runtime_error("cannot connect to " + ip + ": " + std::strerror(errno));
  }
  return connection;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t written = send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(written);
  }
  return true;
}

bool ReadSome(int socket, std::string& buffer) {
  std::array<char, kReadBytes> bytes{};
  const ssize_t count = recv(socket, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::string ReadUntilClosed(int socket, std::chrono::milliseconds limit) {
  std::string text;
  pollfd waiting{socket, POLLIN, 0};
  while (poll(&waiting, 1, static_cast<int>(limit.count())) > 0 && ReadSome(socket, text)) {
  }
  return text;
}

std::string RawField(const std::string& head, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t found = head.find(start);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t value = found + start.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

}  // namespace qh::test
