#include "quetzalhinge/testing/raw_peer.h"

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

#include "quetzalhinge/testing/raw_socket.h"

namespace qh::test {

RawPeer::RawPeer() : m_listener(ListenRaw("127.0.0.1", 0)) {}

RawPeer::~RawPeer() {
  if (m_connection >= 0) {
    close(m_connection);
  }
  close(m_listener);
}

IpEndpoint RawPeer::Endpoint() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot read the address of a listening socket");
  }
  return FromSockaddr(address);
}

void RawPeer::Accept() {
  m_connection = accept(m_listener, nullptr, nullptr);
  if (m_connection < 0) {
    throw std::runtime_error("cannot accept a connection");
  }
}

bool RawPeer::HasReceived() const {
  int unread_bytes = 0;
  if (ioctl(m_connection, FIONREAD, &unread_bytes) != 0) {
    throw std::runtime_error("cannot read the number of received bytes");
  }
  return unread_bytes > 0;
}

void RawPeer::Send(const std::string& bytes) {
  if (!WriteAll(m_connection, bytes)) {
    throw std::runtime_error("cannot send to the client");
  }
}

void RawPeer::FinishSending() { shutdown(m_connection, SHUT_WR); }

void RawPeer::Reset() {
  const linger reset_on_close{1, 0};
  setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  Close();
}

void RawPeer::Close() {
  close(m_connection);
  m_connection = -1;
}

}  // namespace qh::test
