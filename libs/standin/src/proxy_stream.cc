#include "proxy_stream.h"

#include <uv.h>

#include <array>
#include <utility>
#include <vector>

namespace qh::standin {
namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;

/** A write in progress. Owns the data until libuv has written it. */
struct WriteRequest {
  uv_write_t request{};
  std::string data;
};

}  // namespace

struct ProxyStream::Impl {
  uv_tcp_t handle{};
  uv_connect_t connect_request{};
  ProxyStreamEvents events;
  bool connected = false;
  bool closed = false;
  std::vector<std::string> pending_writes;
  std::array<char, kReadBufferBytes> buffer{};

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&handle); }

  void OnEstablished() {
    connected = true;
    uv_tcp_nodelay(&handle, 1);
    uv_read_start(Stream(), OnAllocate, OnRead);
    for (std::string& data : pending_writes) {
      Write(std::move(data));
    }
    pending_writes.clear();
  }

  void Write(std::string data) {
    auto* write = new WriteRequest;
    write->data = std::move(data);
    write->request.data = write;
    const uv_buf_t buffer_view =
        uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
    const int status = uv_write(
        &write->request, Stream(), &buffer_view, 1,
        [](uv_write_t* request, int) { delete static_cast<WriteRequest*>(request->data); });
    if (status != 0) {
      delete write;
    }
  }

  void ReportEnd() {
    uv_read_stop(Stream());
    if (!closed) {
      // Copies the callback, because it may destroy the stream that owns it.
      const auto on_end = events.on_end;
      on_end();
    }
  }

  static void OnAllocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
    auto* impl = static_cast<Impl*>(handle->data);
    *buffer = uv_buf_init(impl->buffer.data(), kReadBufferBytes);
  }

  static void OnRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* impl = static_cast<Impl*>(stream->data);
    if (size < 0) {
      impl->ReportEnd();
    } else if (size > 0 && !impl->closed) {
      const auto on_data = impl->events.on_data;
      on_data(std::string(buffer->base, static_cast<std::size_t>(size)));
    }
  }

  static void OnConnected(uv_connect_t* request, int status) {
    auto* impl = static_cast<Impl*>(request->data);
    if (impl->closed) {
      return;
    }
    if (status != 0) {
      impl->ReportEnd();
    } else {
      impl->OnEstablished();
    }
  }
};

ProxyStream::ProxyStream(net::EventLoop& loop, ProxyStreamEvents events) : m_impl(new Impl) {
  m_impl->events = std::move(events);
  uv_tcp_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
  m_impl->connect_request.data = m_impl;
}

ProxyStream::~ProxyStream() {
  m_impl->closed = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&m_impl->handle),
           [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
}

bool ProxyStream::Accept(uv_stream_s* listener) {
  if (uv_accept(listener, m_impl->Stream()) != 0) {
    return false;
  }
  m_impl->OnEstablished();
  return true;
}

void ProxyStream::Connect(const IpEndpoint& peer) {
  const sockaddr_in address = ToSockaddr(peer);
  uv_tcp_connect(&m_impl->connect_request, &m_impl->handle,
                 reinterpret_cast<const sockaddr*>(&address), Impl::OnConnected);
}

void ProxyStream::Write(std::string data) {
  if (m_impl->connected) {
    m_impl->Write(std::move(data));
  } else {
    m_impl->pending_writes.push_back(std::move(data));
  }
}

}  // namespace qh::standin
