#include "quetzalhinge/net/tcp_connection.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "stream_end.h"

namespace qh::net {
namespace {

/** Size of the read buffer. All connections of a thread share it: observers consume it at once. */
constexpr std::size_t kReadBufferBytes = 16 * 1024;

/** Idle time before the first TCP keep-alive probe, and interval of the probes. */
constexpr int kKeepAliveSeconds = 1;

/** Number of unanswered probes after which the kernel closes the connection. */
constexpr int kKeepAliveProbes = 2;

/** Time after which the kernel closes a connection with unacknowledged bytes. */
constexpr int kUserTimeoutMs = 3000;

void SetOption(int descriptor, int level, int option, int value) {
  // Without the option, only the time-outs of the calls detect an unresponsive peer.
  (void)setsockopt(descriptor, level, option, &value, sizeof(value));
}

std::array<char, kReadBufferBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace

struct TcpConnection::Impl {
  struct WriteRequest {
    uv_write_t request{};
    std::string bytes;
    SharedBytes more;

    std::size_t Size() const { return bytes.size() + more.bytes.size(); }

    /** Returns the bytes without the first `skipped` of them. */
    std::array<uv_buf_t, 2> Buffers(std::size_t skipped) {
      const std::size_t skipped_first = std::min(skipped, bytes.size());
      const std::size_t skipped_more = skipped - skipped_first;
      // libuv does not change the bytes that it writes.
      return {uv_buf_init(bytes.data() + skipped_first,
                          static_cast<unsigned>(bytes.size() - skipped_first)),
              uv_buf_init(const_cast<char*>(more.bytes.data()) + skipped_more,
                          static_cast<unsigned>(more.bytes.size() - skipped_more))};
    }
  };

  uv_tcp_t handle{};
  uv_connect_t connect{};
  uv_shutdown_t shutdown{};
  TcpObserver* observer = nullptr;
  IpEndpoint peer;
  std::vector<std::unique_ptr<WriteRequest>> queued_before_connect;
  bool connected = false;
  bool open = true;
  SendingSide sending;
  bool reading = true;

  std::size_t QueuedBytes() { return uv_stream_get_write_queue_size(Stream()); }

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&handle); }

  void ConfigureSocket() {
    uv_tcp_nodelay(&handle, 1);
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) != 0) {
      return;
    }
    SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
    SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
    SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
    SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  }

  void StartReading() { uv_read_start(Stream(), OnAllocate, OnRead); }

  void End(TcpEnd end, const char* step, int status) {
    if (!open) {
      return;
    }
    open = false;
    uv_read_stop(Stream());
    if (observer != nullptr) {
      observer->OnEnd(end, Error{ErrorCode::kUnavailable, step, ToString(peer),
                                 status == UV_EOF ? "closed by peer" : uv_strerror(status)});
    }
  }

  /** Ends the connection after a read that has failed with `status`, which may be UV_EOF. */
  void EndReading(int status) {
    uv_os_fd_t descriptor = -1;
    if (status == UV_EOF && uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) == 0) {
      const int error = ErrorAtEndOfStream(descriptor, sending);
      status = error == 0 ? UV_EOF : error;
    }
    End(status == UV_EOF ? TcpEnd::kClosedByPeer : TcpEnd::kBroken, "read", status);
  }

  void SendNow(std::unique_ptr<WriteRequest> write) {
    const std::size_t size = write->Size();
    std::array<uv_buf_t, 2> buffers = write->Buffers(0);
    const unsigned count = write->more.bytes.empty() ? 1 : 2;
    const int tried = QueuedBytes() == 0 ? uv_try_write(Stream(), buffers.data(), count) : 0;
    if (tried < 0 && tried != UV_EAGAIN) {
      RecordWriteError(tried);
    }
    const auto written = static_cast<std::size_t>(std::max(0, tried));
    if (written == size) {
      return;
    }
    buffers = write->Buffers(written);
    write->request.data = write.get();
    const int status = uv_write(&write->request, Stream(), buffers.data(), count, OnWritten);
    if (status == 0) {
      // OnWritten() deletes it.
      static_cast<void>(write.release());
    }
  }

  void RecordWriteError(int status) {
    if (sending.write_error == 0) {
      sending.write_error = status;
    }
  }

  void FinishNow() {
    uv_shutdown(&shutdown, Stream(), [](uv_shutdown_t*, int) {});
  }

  static void OnConnected(uv_connect_t* request, int status) {
    auto* impl = static_cast<Impl*>(request->data);
    if (impl->observer == nullptr) {
      return;
    }
    if (status != 0) {
      impl->End(TcpEnd::kNotConnected, "connect", status);
      return;
    }
    impl->connected = true;
    impl->ConfigureSocket();
    for (auto& write : std::exchange(impl->queued_before_connect, {})) {
      impl->SendNow(std::move(write));
    }
    if (impl->sending.finished) {
      impl->FinishNow();
    }
    if (impl->reading) {
      impl->StartReading();
    }
    impl->observer->OnConnected();
  }

  static void OnAllocate(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
    *buffer = uv_buf_init(ReadBuffer().data(), kReadBufferBytes);
  }

  static void OnRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* impl = static_cast<Impl*>(stream->data);
    if (size > 0 && impl->observer != nullptr) {
      impl->observer->OnBytes(std::string_view(buffer->base, static_cast<std::size_t>(size)));
    } else if (size < 0) {
      impl->EndReading(static_cast<int>(size));
    }
  }

  static void OnWritten(uv_write_t* request, int status) {
    std::unique_ptr<WriteRequest> write(static_cast<WriteRequest*>(request->data));
    auto* impl = static_cast<Impl*>(request->handle->data);
    if (impl->observer == nullptr) {
      return;
    }
    if (status != 0) {
      impl->RecordWriteError(status);
      impl->End(TcpEnd::kBroken, "write", impl->sending.write_error);
    } else if (impl->QueuedBytes() == 0) {
      impl->observer->OnAllWritten();
    }
  }
};

TcpConnection::TcpConnection(EventLoop& loop, const IpEndpoint& peer, TcpObserver& observer)
    : m_impl(new Impl) {
  m_impl->observer = &observer;
  m_impl->peer = peer;
  uv_tcp_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
  m_impl->connect.data = m_impl;
  const sockaddr_in address = ToSockaddr(peer);
  const int status = uv_tcp_connect(&m_impl->connect, &m_impl->handle,
                                    reinterpret_cast<const sockaddr*>(&address), Impl::OnConnected);
  if (status != 0) {
    // The observer is not called, because the caller has not stored the connection yet; callers
    // check IsOpen(). The handle stays open until this object is destroyed.
    m_impl->open = false;
  }
}

TcpConnection::TcpConnection(EventLoop& loop, uv_stream_s* listener, TcpObserver& observer)
    : m_impl(new Impl) {
  m_impl->observer = &observer;
  uv_tcp_init(loop.Handle(), &m_impl->handle);
  m_impl->handle.data = m_impl;
  if (uv_accept(listener, m_impl->Stream()) != 0) {
    m_impl->open = false;
    return;
  }
  m_impl->connected = true;
  sockaddr_in address{};
  int size = sizeof(address);
  uv_tcp_getpeername(&m_impl->handle, reinterpret_cast<sockaddr*>(&address), &size);
  m_impl->peer = FromSockaddr(address);
  m_impl->ConfigureSocket();
  m_impl->StartReading();
}

TcpConnection::~TcpConnection() {
  m_impl->observer = nullptr;
  m_impl->open = false;
  uv_close(reinterpret_cast<uv_handle_t*>(&m_impl->handle),
           [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
}

void TcpConnection::Write(std::string bytes, SharedBytes more) {
  auto write = std::make_unique<Impl::WriteRequest>();
  write->bytes = std::move(bytes);
  write->more = std::move(more);
  if (m_impl->connected) {
    m_impl->SendNow(std::move(write));
  } else {
    m_impl->queued_before_connect.push_back(std::move(write));
  }
}

void TcpConnection::FinishWriting() {
  if (m_impl->sending.finished) {
    return;
  }
  m_impl->sending.finished = true;
  if (m_impl->connected) {
    m_impl->FinishNow();
  }
}

void TcpConnection::SetReading(bool reading) {
  if (reading == m_impl->reading || !m_impl->open) {
    return;
  }
  m_impl->reading = reading;
  if (!m_impl->connected) {
    return;
  }
  if (reading) {
    m_impl->StartReading();
  } else {
    uv_read_stop(m_impl->Stream());
  }
}

bool TcpConnection::IsOpen() const noexcept { return m_impl->open; }

std::size_t TcpConnection::QueuedBytes() const noexcept {
  std::size_t bytes = m_impl->QueuedBytes();
  for (const auto& write : m_impl->queued_before_connect) {
    bytes += write->Size();
  }
  return bytes;
}

std::size_t TcpConnection::UnacknowledgedBytes() const noexcept {
  uv_os_fd_t descriptor = -1;
  int kernel_bytes = 0;
  // Where the kernel does not tell, only the queued bytes are known.
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&m_impl->handle), &descriptor) != 0 ||
      ioctl(descriptor, TIOCOUTQ, &kernel_bytes) != 0) {
    kernel_bytes = 0;
  }
  return QueuedBytes() + static_cast<std::size_t>(std::max(0, kernel_bytes));
}

const IpEndpoint& TcpConnection::Peer() const noexcept { return m_impl->peer; }

}  // namespace qh::net
