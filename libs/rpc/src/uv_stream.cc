#include "uv_stream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <vector>

namespace qh::rpc {
namespace {

constexpr std::size_t kReadBufferBytes = 65536;

kj::Exception UvException(int status) {
  const auto type =
      status == UV_ETIMEDOUT ? kj::Exception::Type::OVERLOADED : kj::Exception::Type::DISCONNECTED;
  return kj::Exception(type, __FILE__, __LINE__, kj::heapString(uv_strerror(status)));
}

/** A write in progress, with its own copy of the bytes: KJ may drop the promise before libuv is
 * done. */
struct WriteRequest {
  uv_write_t request{};
  std::vector<char> bytes;
  kj::Own<kj::PromiseFulfiller<void>> fulfiller;
};

/** A connection attempt. */
struct ConnectRequest {
  uv_connect_t request{};
  uv_tcp_t* handle = nullptr;
  kj::Own<kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>>> fulfiller;
};

class UvStream : public kj::AsyncIoStream {
 public:
  explicit UvStream(uv_tcp_t* handle) : m_handle(handle) {
    m_handle->data = this;
    uv_tcp_nodelay(m_handle, 1);
    uv_read_start(reinterpret_cast<uv_stream_t*>(m_handle), OnAllocate, OnRead);
  }

  ~UvStream() {
    m_handle->data = nullptr;
    CloseTcpHandle(m_handle);
  }

  // The names of the next functions are those of KJ's interface.
  // NOLINTBEGIN(readability-identifier-naming)
  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    m_wanted = {static_cast<char*>(buffer), min_bytes, max_bytes, 0};
    TakeReceived();
    if (m_wanted.taken >= m_wanted.min_bytes || m_ended) {
      return m_wanted.taken;
    }
    auto pair = kj::newPromiseAndFulfiller<std::size_t>();
    m_reader = kj::mv(pair.fulfiller);
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
      m_disconnect_watchers.push_back(kj::mv(pair.fulfiller));
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
  /** The buffer of a tryRead() that waits for bytes. */
  struct Wanted {
    char* buffer = nullptr;
    std::size_t min_bytes = 0;
    std::size_t max_bytes = 0;
    std::size_t taken = 0;
  };

  static void OnAllocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
    auto* stream = static_cast<UvStream*>(handle->data);
    if (stream == nullptr) {
      *buffer = uv_buf_init(nullptr, 0);
      return;
    }
    *buffer = uv_buf_init(stream->m_read_buffer.data(), kReadBufferBytes);
  }

  static void OnRead(uv_stream_t* handle, ssize_t size, const uv_buf_t* buffer) {
    auto* stream = static_cast<UvStream*>(handle->data);
    if (stream == nullptr || size == 0) {
      return;
    }
    if (size < 0) {
      stream->OnEnd();
      return;
    }
    stream->m_received.insert(stream->m_received.end(), buffer->base, buffer->base + size);
    if (stream->m_reader.get() != nullptr) {
      stream->TakeReceived();
      if (stream->m_wanted.taken >= stream->m_wanted.min_bytes) {
        stream->FulfillReader();
      }
    }
  }

  void OnEnd() {
    m_ended = true;
    uv_read_stop(reinterpret_cast<uv_stream_t*>(m_handle));
    if (m_reader.get() != nullptr) {
      FulfillReader();
    }
    for (auto& watcher : m_disconnect_watchers) {
      watcher->fulfill();
    }
    m_disconnect_watchers.clear();
  }

  void FulfillReader() {
    auto reader = kj::mv(m_reader);
    reader->fulfill(kj::cp(m_wanted.taken));
  }

  void TakeReceived() {
    const std::size_t count = std::min(m_received.size(), m_wanted.max_bytes - m_wanted.taken);
    if (count == 0) {
      return;  // An empty vector's data() may be null, which memcpy() must not be given.
    }
    std::memcpy(m_wanted.buffer + m_wanted.taken, m_received.data(), count);
    m_received.erase(m_received.begin(), m_received.begin() + static_cast<std::ptrdiff_t>(count));
    m_wanted.taken += count;
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
  std::vector<char> m_read_buffer = std::vector<char>(kReadBufferBytes);
  std::vector<char> m_received;
  Wanted m_wanted;
  kj::Own<kj::PromiseFulfiller<std::size_t>> m_reader;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_disconnect_watchers;
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

kj::Own<kj::AsyncIoStream> MakeUvStream(uv_tcp_t* handle) { return kj::heap<UvStream>(handle); }

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
