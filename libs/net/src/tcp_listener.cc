#include "quetzalhinge/net/tcp_listener.h"

#include <uv.h>

#include <utility>

namespace qh::net {
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

Result<Success> TcpListener::Listen(const IpEndpoint& endpoint, const TcpListenOptions& options) {
  const sockaddr_in address = ToSockaddr(endpoint);
  int status = uv_tcp_bind(&m_impl->handle, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0 && options.receive_buffer_bytes > 0) {
    // Set before listening: accepted connections inherit it, and their peers never see a larger
    // window. Without the option, the process can still serve, with less control of its memory.
    int bytes = options.receive_buffer_bytes;
    (void)uv_recv_buffer_size(reinterpret_cast<uv_handle_t*>(&m_impl->handle), &bytes);
  }
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&m_impl->handle), options.backlog,
                       Impl::OnConnection);
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
