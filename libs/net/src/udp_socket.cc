#include "quetzalhinge/net/udp_socket.h"

#include <uv.h>

#include <array>
#include <utility>

namespace qh::net {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;

}  // namespace

struct UdpSocket::Impl {
  uv_udp_t handle{};
  ReceiveCallback on_receive;
  std::array<char, kMaxDatagramBytes> buffer{};

  static void OnAllocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
    auto* impl = static_cast<Impl*>(handle->data);
    *buffer = uv_buf_init(impl->buffer.data(), kMaxDatagramBytes);
  }

  static void OnReceive(uv_udp_t* handle, ssize_t size, const uv_buf_t* buffer,
                        const sockaddr* address, unsigned /*flags*/) {
    auto* impl = static_cast<Impl*>(handle->data);
    if (size <= 0 || address == nullptr) {
      return;
    }
    impl->on_receive(FromSockaddr(*reinterpret_cast<const sockaddr_in*>(address)),
                     std::string_view(buffer->base, static_cast<std::size_t>(size)));
  }
};

UdpSocket::UdpSocket(EventLoop& loop, ReceiveCallback on_receive) : m_impl(new Impl) {
  m_impl->on_receive = std::move(on_receive);
  uv_udp_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
}

UdpSocket::~UdpSocket() {
  uv_close(reinterpret_cast<uv_handle_t*>(&m_impl->handle),
           [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
}

Result<Success> UdpSocket::Bind(const IpEndpoint& endpoint) {
  const sockaddr_in address = ToSockaddr(endpoint);
  int status = uv_udp_bind(&m_impl->handle, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status = uv_udp_recv_start(&m_impl->handle, Impl::OnAllocate, Impl::OnReceive);
  }
  if (status != 0) {
    return Error{ErrorCode::kUnavailable, "bind udp", ToString(endpoint), uv_strerror(status)};
  }
  return Success{};
}

IpEndpoint UdpSocket::LocalEndpoint() const {
  sockaddr_in address{};
  int size = sizeof(address);
  uv_udp_getsockname(&m_impl->handle, reinterpret_cast<sockaddr*>(&address), &size);
  return FromSockaddr(address);
}

bool UdpSocket::Send(const IpEndpoint& to, std::string_view data) noexcept {
  const sockaddr_in address = ToSockaddr(to);
  // The buffer type of libuv is not const, but uv_udp_try_send() does not modify the data.
  const uv_buf_t buffer =
      uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
  return uv_udp_try_send(&m_impl->handle, &buffer, 1,
                         reinterpret_cast<const sockaddr*>(&address)) >= 0;
}

}  // namespace qh::net
