#include "quetzalhinge/net/tcp_listener.h"

#include <uv.h>

#include <utility>

namespace qh::net {
namespace {

/** Maximum number of pending connections. The kernel reduces it to its own limit. */
constexpr int kBacklog = 1024;

}  // namespace

struct TcpListener::Impl {
  uv_tcp_t handle{};
  AcceptCallback on_connection;

  static void OnConnection(uv_stream_t* listener, int status) {
    auto* impl = static_cast<Impl*>(listener->data);
    if (status == 0) {
      impl->on_connection(listener);
    }
  }
};

TcpListener::TcpListener(EventLoop& loop, AcceptCallback on_connection) : m_impl(new Impl) {
  m_impl->on_connection = std::move(on_connection);
  uv_tcp_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
}

TcpListener::~TcpListener() {
  uv_close(reinterpret_cast<uv_handle_t*>(&m_impl->handle),
           [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
}

Result<Success> TcpListener::Listen(const IpEndpoint& endpoint) {
  const sockaddr_in address = ToSockaddr(endpoint);
  int status = uv_tcp_bind(&m_impl->handle, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status =
        uv_listen(reinterpret_cast<uv_stream_t*>(&m_impl->handle), kBacklog, Impl::OnConnection);
  }
  if (status != 0) {
    return Error{ErrorCode::kUnavailable, "listen", ToString(endpoint), uv_strerror(status)};
  }
  return Success{};
}

IpEndpoint TcpListener::LocalEndpoint() const {
  sockaddr_in address{};
  int size = sizeof(address);
  uv_tcp_getsockname(&m_impl->handle, reinterpret_cast<sockaddr*>(&address), &size);
  return FromSockaddr(address);
}

}  // namespace qh::net
