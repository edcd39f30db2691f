#include <utility>

#include "ascii_case.h"
#include "connection_server_impl.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

/** Buffered bytes of pipelined requests above which reading pauses until the next response. */
constexpr std::size_t kMaxPipelinedBytes = 4 * 1024;

/** Value of retry-after when the memory is used up; other VMs may have some at once. */
constexpr const char* kRetryAfterSeconds = "0.25";

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

}  // namespace

/** A request of a connection that awaits its response. */
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
  Body body = is_head ? Body() : response.body;
  if (!ReserveMemoryFor(body)) {
    // Says nothing about whether the request has run.
    CloseNow();
    return;
  }
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

bool ConnectionServer::Impl::Connection::ReserveMemoryFor(Body& body) const {
  const std::shared_ptr<MemoryBudget>& budget = m_server.limits.message.memory_budget;
  if (budget == nullptr || body.empty() || body.HasKept()) {
    return true;
  }
  auto memory = std::make_shared<MemoryReservation>(budget, MessageKind::kResponse, [] {});
  if (!memory->Resize(body.capacity())) {
    return false;
  }
  memory->Complete();
  body.Keep(std::move(memory));
  return true;
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
  // A response that is being sent may take any time, as long as the peer reads it.
  const std::size_t queued_bytes = QueuedBytes();
  if (queued_bytes > 0) {
    // The kernel takes queued bytes over in large steps; what the peer acknowledges is finer.
    const std::size_t unacknowledged_bytes = m_tcp->UnacknowledgedBytes();
    if (unacknowledged_bytes != m_checked_unacknowledged_bytes) {
      m_wait_started = now;
    }
    m_checked_unacknowledged_bytes = unacknowledged_bytes;
  }
  const Duration elapsed = now - m_wait_started;
  if (m_lingering) {
    if (elapsed > (queued_bytes == 0 ? kLingeringCloseTimeout : m_server.limits.idle_timeout)) {
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

}  // namespace qh::http
