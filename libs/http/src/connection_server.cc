#include "quetzalhinge/http/connection_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "connection_server_impl.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

/** Interval of the time-out checks; a time-out is detected at most this much too late. */
constexpr milliseconds kSweepInterval{250};

/**
 * Fraction of the maximum number of connections that is closed at once to make room, so that the
 * search for them is rare when many connections arrive.
 */
constexpr std::size_t kReplacedDivisor = 32;

/** Range of the number of connections that wait to be accepted: half of those that may be open. */
constexpr std::size_t kMinBacklog = 16;
constexpr std::size_t kMaxBacklog = 1024;

}  // namespace

void ConnectionServer::Impl::Accept(uv_stream_s* stream) {
  auto connection = std::make_shared<Connection>(*this, stream);
  if (!connection->IsOpen()) {
    return;
  }
  if (connections.size() >= limits.max_connections) {
    MakeRoom();
  }
  if (connections.size() >= limits.max_connections) {
    ++closed.not_accepted;
    return;
  }
  connection->Start();
  connections[connection.get()] = std::move(connection);
}

void ConnectionServer::Impl::MakeRoom() {
  std::vector<std::shared_ptr<Connection>> replaceable;
  for (const auto& [key, connection] : connections) {
    if (connection->IsReplaceable()) {
      replaceable.push_back(connection);
    }
  }
  const std::size_t count = std::min(
      replaceable.size(), std::max<std::size_t>(1, limits.max_connections / kReplacedDivisor));
  std::partial_sort(replaceable.begin(), replaceable.begin() + static_cast<std::ptrdiff_t>(count),
                    replaceable.end(),
                    [](const auto& a, const auto& b) { return a->IsReplacedBefore(*b); });
  for (std::size_t i = 0; i < count; ++i) {
    // A response is cut only if there is nothing else to close.
    if (i == 0 || !replaceable[i]->IsSending()) {
      replaceable[i]->CloseNow();
      ++closed.replaced;
    }
  }
}

void ConnectionServer::Impl::Sweep() {
  const TimePoint now = loop.Now();
  std::vector<std::shared_ptr<Connection>> open;
  open.reserve(connections.size());
  for (const auto& [key, connection] : connections) {
    open.push_back(connection);
  }
  for (const std::shared_ptr<Connection>& connection : open) {
    connection->CheckTimeouts(now);
  }
}

ConnectionServer::ConnectionServer(net::EventLoop& loop, const ConnectionLimits& limits,
                                   Handler handler)
    : m_impl(std::make_shared<Impl>(loop, limits, std::move(handler))) {}

ConnectionServer::~ConnectionServer() {
  m_impl->sweep.Stop();
  m_impl->listener.reset();
  m_impl->handler = nullptr;
  m_impl->connections.clear();
}

Result<Success> ConnectionServer::Listen(const IpEndpoint& endpoint) {
  m_impl->listener = std::make_unique<net::TcpListener>(
      m_impl->loop, [impl = m_impl.get()](uv_stream_s* stream) { impl->Accept(stream); });
  const ConnectionLimits& limits = m_impl->limits;
  net::TcpListenOptions options;
  options.backlog =
      static_cast<int>(std::clamp(limits.max_connections / 2, kMinBacklog, kMaxBacklog));
  options.receive_buffer_bytes = static_cast<int>(limits.receive_buffer_bytes);
  Result<Success> listening = m_impl->listener->Listen(endpoint, options);
  if (IsOk(listening)) {
    m_impl->local = m_impl->listener->LocalEndpoint();
    m_impl->sweep.StartRepeating(kSweepInterval);
  }
  return listening;
}

IpEndpoint ConnectionServer::LocalEndpoint() const { return m_impl->local; }
void ConnectionServer::SetLimits(const ConnectionLimits& limits) { m_impl->limits = limits; }
void ConnectionServer::CloseAfterResponses() { m_impl->close_after_responses = true; }
void ConnectionServer::StopAccepting() { m_impl->listener.reset(); }

void ConnectionServer::OnRefusal(std::function<HttpResponse(Refusal)> make_response) {
  m_impl->make_refusal = std::move(make_response);
}

void ConnectionServer::AbortConnections() {
  std::vector<std::shared_ptr<Impl::Connection>> open;
  for (const auto& [key, connection] : m_impl->connections) {
    open.push_back(connection);
  }
  for (const std::shared_ptr<Impl::Connection>& connection : open) {
    connection->CloseNow();
  }
}

void ConnectionServer::CloseIdleConnections() {
  std::vector<std::shared_ptr<Impl::Connection>> idle;
  for (const auto& [key, connection] : m_impl->connections) {
    if (connection->IsIdle()) {
      idle.push_back(connection);
    }
  }
  for (const std::shared_ptr<Impl::Connection>& connection : idle) {
    connection->StartLingeringClose();
  }
}

std::size_t ConnectionServer::OpenConnections() const noexcept {
  return m_impl->connections.size();
}

std::size_t ConnectionServer::QueuedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [key, connection] : m_impl->connections) {
    bytes += connection->QueuedBytes();
  }
  return bytes;
}

std::size_t ConnectionServer::InProgress() const noexcept { return m_impl->in_progress; }
const RefusalCounts& ConnectionServer::Refused() const noexcept { return m_impl->refused; }
const ConnectionCounts& ConnectionServer::Closed() const noexcept { return m_impl->closed; }
const ConnectionLimits& ConnectionServer::Limits() const noexcept { return m_impl->limits; }

}  // namespace qh::http
