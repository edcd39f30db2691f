#include "quetzalhinge/http/connection_server.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "ascii_case.h"
#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/tcp_listener.h"
#include "quetzalhinge/net/timer.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

/** Interval of the time-out checks; a time-out is detected at most this much too late. */
constexpr milliseconds kSweepInterval{250};

/** Buffered bytes of pipelined requests above which reading pauses until the next response. */
constexpr std::size_t kMaxPipelinedBytes = 4 * 1024;

/** Value of retry-after when the memory is used up; other VMs may have some at once. */
constexpr const char* kRetryAfterSeconds = "0.25";

/**
 * Fraction of the maximum number of connections that is closed at once to make room, so that the
 * search for them is rare when many connections arrive.
 */
constexpr std::size_t kReplacedDivisor = 32;

/** Range of the number of connections that wait to be accepted: half of those that may be open. */
constexpr std::size_t kMinBacklog = 16;
constexpr std::size_t kMaxBacklog = 1024;

/** How long a lingering close waits for the peer to close its side. */
constexpr milliseconds kLingeringCloseTimeout{1000};

std::string SerializeHead(const HttpResponse& response, bool close) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " + ReasonPhrase(response.status) + "\r\n";
  for (const HttpHeader& header : WithoutHopByHop(response.headers)) {
    text += header.name + ": " + header.value + "\r\n";
  }
  if (response.status != 204 && response.status != 304 && !response.ends_with_connection) {
    text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  }
  return text + (close ? "connection: close\r\n\r\n" : "\r\n");
}

Refusal RefusalOf(ReadFault fault) {
  switch (fault) {
    case ReadFault::kHeadTooLarge:
      return Refusal::kHeadTooLarge;
    case ReadFault::kBodyTooLarge:
      return Refusal::kBodyTooLarge;
    case ReadFault::kAmbiguousFraming:
      return Refusal::kAmbiguousFraming;
    case ReadFault::kNoMemory:
      return Refusal::kNoMemory;
    case ReadFault::kMalformed:
    case ReadFault::kCutShort:
      break;
  }
  return Refusal::kMalformed;
}

void CountRefusal(Refusal refusal, RefusalCounts& refused) {
  switch (refusal) {
    case Refusal::kHeadTooLarge:
      ++refused.head_too_large;
      break;
    case Refusal::kBodyTooLarge:
      ++refused.body_too_large;
      break;
    case Refusal::kTimedOut:
      ++refused.timed_out;
      break;
    case Refusal::kNoMemory:
      ++refused.no_memory;
      break;
    case Refusal::kMalformed:
    case Refusal::kAmbiguousFraming:
      ++refused.malformed;
      break;
  }
}

}  // namespace

int StatusOf(Refusal refusal) noexcept {
  switch (refusal) {
    case Refusal::kHeadTooLarge:
      return 431;
    case Refusal::kBodyTooLarge:
      return 413;
    case Refusal::kTimedOut:
      return 408;
    case Refusal::kNoMemory:
      return 503;
    case Refusal::kMalformed:
    case Refusal::kAmbiguousFraming:
      break;
  }
  return 400;
}

struct ConnectionServer::Impl : public std::enable_shared_from_this<ConnectionServer::Impl> {
  class Connection;
  class Exchange;

  net::EventLoop& loop;
  ConnectionLimits limits;
  Handler handler;
  std::unique_ptr<net::TcpListener> listener;
  IpEndpoint local;
  net::Timer sweep;
  std::map<Connection*, std::shared_ptr<Connection>> connections;
  std::size_t in_progress = 0;
  bool close_after_responses = false;
  RefusalCounts refused;
  ConnectionCounts closed;
  std::function<HttpResponse(Refusal)> make_refusal;

  Impl(net::EventLoop& event_loop, const ConnectionLimits& connection_limits, Handler on_request)
      : loop(event_loop),
        limits(connection_limits),
        handler(std::move(on_request)),
        sweep(loop, [this] { Sweep(); }) {}

  void Accept(uv_stream_s* stream);

  /** Closes connections so that a new one is below the limit, if there are any to close. */
  void MakeRoom();
  void Sweep();
};

class ConnectionServer::Impl::Connection : public net::TcpObserver,
                                           public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& server, uv_stream_s* listener)
      : m_server(server),
        m_reader(MessageKind::kRequest, server.limits.message),
        m_tcp(std::make_unique<net::TcpConnection>(server.loop, listener, *this)),
        m_wait_started(server.loop.Now()) {}

  /** Completes the set-up, which needs the shared pointer to this object. */
  void Start() {
    m_reader.OnRevoked([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        // Posted, because another connection is reading.
        self->m_server.loop.Post([self] { self->RefuseFaultyRequest(); });
      }
    });
  }

  bool IsOpen() const { return m_tcp != nullptr && m_tcp->IsOpen(); }
  bool IsIdle() const { return m_exchange.expired() && !m_lingering && !m_reader.IsStarted(); }

  /** Returns whether no request is in progress and no response waits to be sent. */
  bool IsReplaceable() const { return m_exchange.expired() && QueuedBytes() == 0; }

  /** Returns whether this connection is to be closed before `other` to make room. */
  bool IsReplacedBefore(const Connection& other) const {
    return m_has_served != other.m_has_served ? !m_has_served
                                              : m_wait_started < other.m_wait_started;
  }

  const IpEndpoint& Peer() const { return m_tcp->Peer(); }
  std::size_t QueuedBytes() const { return m_tcp == nullptr ? 0 : m_tcp->QueuedBytes(); }
  void OnBytes(std::string_view bytes) override;
  void OnEnd(net::TcpEnd end, const Error& error) override;
  void OnAllWritten() override {
    if (MayReadRequest()) {
      ReadNextRequest();
    }
  }
  void Send(const HttpResponse& response, bool is_head);
  void CheckTimeouts(TimePoint now);

  /** Sends `bytes` unchanged and starts a lingering close. */
  void SendRaw(std::string_view bytes) {
    if (m_tcp != nullptr) {
      m_exchange.reset();
      m_unparsed.clear();
      m_tcp->Write(std::string(bytes));
      StartLingeringClose();
    }
  }

  /** Closes at once. The peer sees a reset if some of its bytes were not read. */
  void CloseNow();

  /** Closes the sending side after the queued bytes and waits for the peer to close its side. */
  void StartLingeringClose() {
    m_lingering = true;
    m_wait_started = m_server.loop.Now();
    m_tcp->FinishWriting();
    m_tcp->SetReading(true);
  }

 private:
  /** Reads requests from `bytes` as long as MayReadRequest(); returns the bytes it has used. */
  std::size_t ParseRequests(std::string_view bytes);

  void ParseBufferedRequests();
  void ReadNextRequest();
  void DispatchRequest();
  void Refuse(Refusal refusal);

  /** Refuses the request that is being read if it was rejected. */
  void RefuseFaultyRequest() {
    if (m_reader.Fault().has_value() && !m_lingering && m_tcp != nullptr) {
      Refuse(RefusalOf(*m_reader.Fault()));
    }
  }

  /**
   * Returns whether the next request may be read: none is in progress, and the last response has
   * been sent, so that a peer that does not read cannot make the server hold more responses.
   */
  bool MayReadRequest() const {
    return m_exchange.expired() && !m_lingering && m_tcp != nullptr && m_tcp->QueuedBytes() == 0;
  }

  void SendContinueIfExpected();

  Impl& m_server;
  MessageReader m_reader;
  std::unique_ptr<net::TcpConnection> m_tcp;
  /** Received bytes that the reader has not consumed yet. */
  std::string m_unparsed;
  /** The request in progress, if any. */
  std::weak_ptr<Exchange> m_exchange;
  /** Start of the wait that CheckTimeouts() limits. */
  TimePoint m_wait_started;
  bool m_continue_sent = false;
  /** Whether a complete request was read. */
  bool m_has_served = false;
  bool m_lingering = false;
  /** Whether ParseRequests() runs, which goes on with the next request itself. */
  bool m_parsing = false;
};

class ConnectionServer::Impl::Exchange : public ServerExchange {
 public:
  Exchange(std::shared_ptr<Impl> server, const std::shared_ptr<Connection>& connection,
           HttpRequest request, bool keep_alive)
      : m_server(std::move(server)),
        m_connection(connection),
        m_request(std::move(request)),
        m_peer(connection->Peer()),
        m_keep_alive(keep_alive) {
    ++m_server->in_progress;
  }

  ~Exchange() override {
    if (!m_responded) {
      Respond(HttpResponse{500, {}, "", true});
    }
  }

  const HttpRequest& Request() const noexcept override { return m_request; }
  const IpEndpoint& Peer() const noexcept override { return m_peer; }
  bool IsConnected() const noexcept override { return !m_connection.expired(); }
  void OnPeerGone(std::function<void()> callback) override { m_on_peer_gone = std::move(callback); }

  void Respond(const HttpResponse& response) override {
    if (m_responded) {
      return;
    }
    m_responded = true;
    --m_server->in_progress;
    const std::shared_ptr<Connection> connection = m_connection.lock();
    if (connection != nullptr) {
      HttpResponse sent = response;
      sent.close_connection = response.close_connection || response.ends_with_connection ||
                              !m_keep_alive || m_server->close_after_responses;
      connection->Send(sent, m_request.method == "HEAD");
    }
  }

  void Abort(std::string_view raw_bytes) override {
    if (m_responded) {
      return;
    }
    m_responded = true;
    --m_server->in_progress;
    const std::shared_ptr<Connection> connection = m_connection.lock();
    if (connection != nullptr) {
      connection->SendRaw(raw_bytes);
    }
  }

  void NotifyPeerGone() {
    m_connection.reset();
    if (!m_responded && m_on_peer_gone != nullptr) {
      const std::function<void()> callback = std::move(m_on_peer_gone);
      callback();
    }
  }

 private:
  std::shared_ptr<Impl> m_server;
  std::weak_ptr<Connection> m_connection;
  HttpRequest m_request;
  IpEndpoint m_peer;
  std::function<void()> m_on_peer_gone;
  bool m_keep_alive;
  bool m_responded = false;
};

void ConnectionServer::Impl::Connection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (m_lingering) {
    return;
  }
  const bool begins_request = m_unparsed.empty() && m_exchange.expired() && !m_reader.IsStarted();
  // The body time-out restarts with each read; the head time-out runs from the first byte.
  if (begins_request || m_reader.IsHeadComplete()) {
    m_wait_started = m_server.loop.Now();
  }
  if (m_unparsed.empty()) {
    bytes.remove_prefix(ParseRequests(bytes));
  }
  if (m_lingering || m_tcp == nullptr) {
    return;
  }
  m_unparsed.append(bytes);
  if (!MayReadRequest() && m_unparsed.size() > kMaxPipelinedBytes) {
    m_tcp->SetReading(false);
  }
}

std::size_t ConnectionServer::Impl::Connection::ParseRequests(std::string_view bytes) {
  std::size_t used = 0;
  m_parsing = true;
  while (used < bytes.size() && MayReadRequest()) {
    used += m_reader.Read(bytes.substr(used));
    if (m_reader.Fault().has_value()) {
      RefuseFaultyRequest();
      break;
    }
    if (!m_reader.IsComplete()) {
      SendContinueIfExpected();
      break;
    }
    DispatchRequest();
  }
  m_parsing = false;
  return used;
}

void ConnectionServer::Impl::Connection::ParseBufferedRequests() {
  if (m_parsing) {
    return;
  }
  // Moved out, so that an empty buffer has no memory and a response can discard what follows.
  const std::string bytes = std::exchange(m_unparsed, {});
  const std::size_t used = ParseRequests(bytes);
  if (!m_lingering && m_tcp != nullptr) {
    m_unparsed = bytes.substr(used);
  }
}

void ConnectionServer::Impl::Connection::SendContinueIfExpected() {
  if (!m_reader.IsHeadComplete() || m_continue_sent) {
    return;
  }
  const auto expect = FindHeader(m_reader.Request().headers, "expect");
  if (expect.has_value() && EqualsIgnoringCase(*expect, "100-continue")) {
    m_continue_sent = true;
    m_tcp->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ConnectionServer::Impl::Connection::DispatchRequest() {
  auto exchange =
      std::make_shared<Exchange>(m_server.shared_from_this(), shared_from_this(),
                                 std::move(m_reader.Request()), m_reader.KeepsConnection());
  m_exchange = exchange;
  m_has_served = true;
  m_continue_sent = false;
  m_reader.SetLimits(m_server.limits.message);
  m_reader.Restart();
  m_server.handler(std::move(exchange));
}

void ConnectionServer::Impl::Connection::Refuse(Refusal refusal) {
  CountRefusal(refusal, m_server.refused);
  HttpResponse response{StatusOf(refusal), {}, "", true};
  if (refusal == Refusal::kNoMemory) {
    response.headers.push_back({"retry-after", kRetryAfterSeconds});
  }
  if (m_server.make_refusal != nullptr) {
    response = m_server.make_refusal(refusal);
    response.close_connection = true;
  }
  Send(response, false);
}

void ConnectionServer::Impl::Connection::Send(const HttpResponse& response, bool is_head) {
  if (m_tcp == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  m_exchange.reset();
  m_wait_started = m_server.loop.Now();
  const Body body = is_head ? Body() : response.body;
  m_tcp->Write(SerializeHead(response, response.close_connection), {body.Bytes(), body.Owner()});
  if (response.close_connection) {
    m_unparsed.clear();
    StartLingeringClose();
    return;
  }
  if (m_tcp->QueuedBytes() == 0) {
    ReadNextRequest();
  }
}

void ConnectionServer::Impl::Connection::ReadNextRequest() {
  m_tcp->SetReading(true);
  if (!m_unparsed.empty()) {
    // Posted, because many pipelined requests would otherwise recurse and exhaust the stack.
    m_server.loop.Post([self = shared_from_this()] { self->ParseBufferedRequests(); });
  }
}

void ConnectionServer::Impl::Connection::OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) {
  const auto self = shared_from_this();
  const std::shared_ptr<Exchange> exchange = m_exchange.lock();
  CloseNow();
  if (exchange != nullptr) {
    exchange->NotifyPeerGone();
  }
}

void ConnectionServer::Impl::Connection::CloseNow() {
  m_tcp.reset();
  const auto self = shared_from_this();
  m_server.connections.erase(this);
}

void ConnectionServer::Impl::Connection::CheckTimeouts(TimePoint now) {
  if (!m_exchange.expired()) {
    return;
  }
  const Duration elapsed = now - m_wait_started;
  if (m_lingering) {
    if (elapsed > kLingeringCloseTimeout && m_tcp->QueuedBytes() == 0) {
      CloseNow();
    }
    return;
  }
  if (!m_reader.IsStarted()) {
    if (elapsed > m_server.limits.idle_timeout) {
      CloseNow();
    }
    return;
  }
  const milliseconds limit =
      m_reader.IsHeadComplete() ? m_server.limits.idle_timeout : m_server.limits.head_timeout;
  if (elapsed > limit) {
    Refuse(Refusal::kTimedOut);
  }
}

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
    replaceable[i]->CloseNow();
  }
  closed.replaced += count;
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
