#include "uv_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <utility>
#include <vector>

namespace qh::rpc {
namespace {

/** Size of the read buffer. All streams of a thread share it: the bytes are copied at once. */
constexpr std::size_t kReadBufferBytes = 65536;

std::array<char, kReadBufferBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

kj::Exception UvException(int status) {
  const auto type =
      status == UV_ETIMEDOUT ? kj::Exception::Type::OVERLOADED : kj::Exception::Type::DISCONNECTED;
  return kj::Exception(type, __FILE__, __LINE__, kj::heapString(uv_strerror(status)));
}

/**
 * A write in progress. Owns a copy of the bytes, because KJ may cancel the promise before libuv has
 * completed the write.
 */
struct WriteRequest {
  uv_write_t request{};
  std::vector<char> bytes;
  kj::Own<kj::PromiseFulfiller<void>> fulfiller;
};

/** A connection attempt in progress. */
struct ConnectRequest {
  uv_connect_t request{};
  uv_tcp_t* handle = nullptr;
  kj::Own<kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>>> fulfiller;
};

class UvStream : public kj::AsyncIoStream {
 public:
  UvStream(uv_tcp_t* handle, std::shared_ptr<const ReceiveLimit> limit)
      : m_handle(handle), m_limit(std::move(limit)) {
    m_handle->data = this;
    uv_tcp_nodelay(m_handle, 1);
    uv_read_start(reinterpret_cast<uv_stream_t*>(m_handle), OnAllocate, OnRead);
  }

  ~UvStream() {
    m_handle->data = nullptr;
    CloseTcpHandle(m_handle);
  }

  // KJ's interface defines the names of the following functions.
  // NOLINTBEGIN(readability-identifier-naming)
  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    m_read_target = {static_cast<char*>(buffer), min_bytes, max_bytes, 0};
    CopyReceived();
    if (m_read_target.copied >= m_read_target.min_bytes || m_ended) {
      return m_read_target.copied;
    }
    auto pair = kj::newPromiseAndFulfiller<std::size_t>();
    m_read_fulfiller = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    const auto* bytes = static_cast<const char*>(buffer);
    return Send(std::vector<char>(bytes, bytes + size));
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::vector<char> bytes;
    for (const auto& piece : pieces) {
      bytes.insert(bytes.end(), piece.begin(), piece.end());
    }
    return Send(std::move(bytes));
  }

  kj::Promise<void> whenWriteDisconnected() override {
    auto pair = kj::newPromiseAndFulfiller<void>();
    if (m_ended) {
      pair.fulfiller->fulfill();
    } else {
      m_disconnect_fulfillers.push_back(kj::mv(pair.fulfiller));
    }
    return kj::mv(pair.promise);
  }

  void shutdownWrite() override {
    auto* request = new uv_shutdown_t{};
    if (uv_shutdown(request, reinterpret_cast<uv_stream_t*>(m_handle),
                    [](uv_shutdown_t* done, int) { delete done; }) != 0) {
      delete request;
    }
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  /** Destination of a tryRead() call. */
  struct ReadTarget {
    char* buffer = nullptr;
    std::size_t min_bytes = 0;
    std::size_t max_bytes = 0;
    std::size_t copied = 0;
  };

  static void OnAllocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
    auto* stream = static_cast<UvStream*>(handle->data);
    if (stream == nullptr) {
      *buffer = uv_buf_init(nullptr, 0);
      return;
    }
    *buffer = uv_buf_init(ReadBuffer().data(), kReadBufferBytes);
  }

  static void OnRead(uv_stream_t* handle, ssize_t size, const uv_buf_t* buffer) {
    auto* stream = static_cast<UvStream*>(handle->data);
    if (stream == nullptr || size == 0) {
      return;
    }
    if (size < 0) {
      stream->OnDisconnect();
      return;
    }
    stream->m_received_bytes += static_cast<std::size_t>(size);
    if (stream->m_limit != nullptr && stream->m_received_bytes > stream->m_limit->max_bytes) {
      stream->OnDisconnect();
      return;
    }
    stream->m_received.insert(stream->m_received.end(), buffer->base, buffer->base + size);
    if (stream->m_read_fulfiller.get() != nullptr) {
      stream->CopyReceived();
      if (stream->m_read_target.copied >= stream->m_read_target.min_bytes) {
        stream->FulfillRead();
      }
    }
  }

  void OnDisconnect() {
    m_ended = true;
    uv_read_stop(reinterpret_cast<uv_stream_t*>(m_handle));
    if (m_read_fulfiller.get() != nullptr) {
      FulfillRead();
    }
    for (auto& disconnect_fulfiller : m_disconnect_fulfillers) {
      disconnect_fulfiller->fulfill();
    }
    m_disconnect_fulfillers.clear();
  }

  void FulfillRead() {
    auto read_fulfiller = kj::mv(m_read_fulfiller);
    read_fulfiller->fulfill(kj::cp(m_read_target.copied));
  }

  void CopyReceived() {
    const std::size_t count =
        std::min(m_received.size(), m_read_target.max_bytes - m_read_target.copied);
    if (count == 0) {
      return;  // data() of an empty vector may be null, which is undefined in memcpy().
    }
    std::memcpy(m_read_target.buffer + m_read_target.copied, m_received.data(), count);
    m_received.erase(m_received.begin(), m_received.begin() + static_cast<std::ptrdiff_t>(count));
    m_read_target.copied += count;
  }

  kj::Promise<void> Send(std::vector<char> bytes) {
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto* write = new WriteRequest;
    write->bytes = std::move(bytes);
    write->fulfiller = kj::mv(pair.fulfiller);
    write->request.data = write;
    const uv_buf_t buffer =
        uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    const int status =
        uv_write(&write->request, reinterpret_cast<uv_stream_t*>(m_handle), &buffer, 1, OnWritten);
    if (status != 0) {
      OnWritten(&write->request, status);
    }
    return kj::mv(pair.promise);
  }

  static void OnWritten(uv_write_t* request, int status) {
    const std::unique_ptr<WriteRequest> write(static_cast<WriteRequest*>(request->data));
    if (status == 0) {
      write->fulfiller->fulfill();
    } else {
      write->fulfiller->reject(UvException(status));
    }
  }

  uv_tcp_t* m_handle;
  std::shared_ptr<const ReceiveLimit> m_limit;
  std::size_t m_received_bytes = 0;
  /** Bytes that KJ has not read yet. */
  std::vector<char> m_received;
  ReadTarget m_read_target;
  kj::Own<kj::PromiseFulfiller<std::size_t>> m_read_fulfiller;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_disconnect_fulfillers;
  bool m_ended = false;
};

void OnConnectDone(uv_connect_t* request, int status) {
  const std::unique_ptr<ConnectRequest> connect(static_cast<ConnectRequest*>(request->data));
  if (status == 0 && connect->fulfiller->isWaiting()) {
    connect->fulfiller->fulfill(MakeUvStream(connect->handle));
    return;
  }
  CloseTcpHandle(connect->handle);
  connect->fulfiller->reject(UvException(status == 0 ? UV_ECANCELED : status));
}

}  // namespace

void CloseTcpHandle(uv_tcp_t* handle) {
  uv_close(reinterpret_cast<uv_handle_t*>(handle),
           [](uv_handle_t* closed) { delete reinterpret_cast<uv_tcp_t*>(closed); });
}

kj::Own<kj::AsyncIoStream> MakeUvStream(uv_tcp_t* handle,
                                        std::shared_ptr<const ReceiveLimit> limit) {
  return kj::heap<UvStream>(handle, std::move(limit));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectUvStream(uv_loop_t* loop, const IpEndpoint& peer) {
  auto pair = kj::newPromiseAndFulfiller<kj::Own<kj::AsyncIoStream>>();
  auto* connect = new ConnectRequest;
  connect->fulfiller = kj::mv(pair.fulfiller);
  connect->handle = new uv_tcp_t{};
  connect->request.data = connect;
  uv_tcp_init(loop, connect->handle);
  const sockaddr_in address = ToSockaddr(peer);
  const int status = uv_tcp_connect(&connect->request, connect->handle,
                                    reinterpret_cast<const sockaddr*>(&address), OnConnectDone);
  if (status != 0) {
    OnConnectDone(&connect->request, status);
  }
  return kj::mv(pair.promise);
}

}  // namespace qh::rpc
