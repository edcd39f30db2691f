#include "scripted_worker.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <list>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

#include "quetzalhinge/testing/raw_socket.h"

namespace qh::test {
namespace {

/** Path of the health probes, which entry VMs send within their probe budget. */
constexpr const char* kHealthPath = "/health";

/**
 * Removes one request with its body from `buffer`, reading from `socket` as needed; returns
 * std::nullopt at the end of the stream.
 */
std::optional<ScriptedRequest> ReadRequest(int socket, std::string& buffer) {
  std::size_t head_end = std::string::npos;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(socket, buffer)) {
      return std::nullopt;
    }
  }
  const std::string head = buffer.substr(0, head_end);
  const std::string length = RawField(head, "content-length");
  const std::size_t end = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  while (buffer.size() < end) {
    if (!ReadSome(socket, buffer)) {
      return std::nullopt;
    }
  }
  buffer.erase(0, end);
  const std::size_t path_start = head.find(' ') + 1;
  return ScriptedRequest{head.substr(path_start, head.find(' ', path_start) - path_start),
                         RawField(head, "x-qh-request-id"), 0};
}

}  // namespace

struct ScriptedWorker::Impl {
  Script script;
  int listener = -1;
  mutable std::mutex mutex;
  std::vector<ScriptedRequest> requests;
  std::vector<int> sockets;
  std::list<std::thread> threads;
  bool stopping = false;

  void Accept() {
    while (true) {
      const int socket = accept(listener, nullptr, nullptr);
      const std::lock_guard lock(mutex);
      if (socket < 0 || stopping) {
        if (socket >= 0) {
          close(socket);
        }
        return;
      }
      const int number = static_cast<int>(sockets.size());
      sockets.push_back(socket);
      threads.emplace_back([this, socket, number] { Serve(socket, number); });
    }
  }

  void Serve(int socket, int number) {
    std::string buffer;
    bool open = true;
    while (open) {
      std::optional<ScriptedRequest> request = ReadRequest(socket, buffer);
      if (!request.has_value()) {
        break;
      }
      request->connection = number;
      if (request->path != kHealthPath) {
        const std::lock_guard lock(mutex);
        requests.push_back(*request);
      }
      open =
          script(*request, [socket](const std::string& bytes) { return WriteAll(socket, bytes); });
    }
    shutdown(socket, SHUT_RDWR);
  }
};

ScriptedWorker::ScriptedWorker(const std::string& ip, std::uint16_t port, Script script)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->script = std::move(script);
  m_impl->listener = ListenRaw(ip, port);
  m_impl->threads.emplace_back([impl = m_impl.get()] { impl->Accept(); });
}

ScriptedWorker::~ScriptedWorker() {
  {
    const std::lock_guard lock(m_impl->mutex);
    m_impl->stopping = true;
    shutdown(m_impl->listener, SHUT_RDWR);
    for (const int socket : m_impl->sockets) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  // The first thread accepts connections, so no thread is added after it has been joined.
  for (std::thread& thread : m_impl->threads) {
    thread.join();
  }
  for (const int socket : m_impl->sockets) {
    close(socket);
  }
  close(m_impl->listener);
}

std::vector<ScriptedRequest> ScriptedWorker::Requests() const {
  const std::lock_guard lock(m_impl->mutex);
  return m_impl->requests;
}

int ScriptedWorker::Connections() const {
  const std::lock_guard lock(m_impl->mutex);
  return static_cast<int>(m_impl->sockets.size());
}

}  // namespace qh::test
