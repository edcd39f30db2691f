#include "quetzalhinge/http/client_connection.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/timer.h"
#include "request_head.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

/**
 * Fraction of the peer's idle time-out during which a connection is reused. The rest covers the
 * time that a request needs to reach the peer.
 */
constexpr double kIdleTimeoutFraction = 0.8;

/** Returns the value of "timeout=" in the Keep-Alive header, or nullopt if there is none. */
std::optional<std::chrono::seconds> KeepAliveTimeout(const HttpHeaders& headers) {
  const auto value = FindHeader(headers, "keep-alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t start = value.has_value() ? value->find(kName) : std::string_view::npos;
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value->substr(start + kName.size());
  int seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return parsed.ec == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

}  // namespace

struct ClientConnection::Impl : public net::TcpObserver,
                                public std::enable_shared_from_this<ClientConnection::Impl> {
  net::EventLoop& loop;
  IpEndpoint peer;
  ClientConnectionOptions options;
  MessageReader reader;
  net::Timer timer;
  std::unique_ptr<net::TcpConnection> tcp;
  Callback callback;
  std::function<bool(const HttpResponse&)> matches_request;
  bool is_head = false;
  bool established = false;
  bool unusable = false;
  bool in_call = false;
  /** Whether a response that does not match the request arrived during this call. */
  bool saw_unmatched_response = false;
  CallStage stage = CallStage::kNotConnected;
  TimePoint deadline{};
  std::optional<TransferTimeouts> transfer_timeouts;
  /** Start of the response and time of its last bytes; set only during a response. */
  std::optional<TimePoint> receiving_since;
  TimePoint received_at{};
  TimePoint idle_until{};

  Impl(net::EventLoop& event_loop, IpEndpoint peer_endpoint, const ClientConnectionOptions& opts)
      : loop(event_loop),
        peer(std::move(peer_endpoint)),
        options(opts),
        reader(MessageKind::kResponse, opts.limits),
        timer(loop, [this] { OnTimer(); }) {}

  void Open() {
    reader.OnRevoked([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        // Posted, because another connection is reading.
        self->loop.Post([self] { self->OnReaderFault(); });
      }
    });
    tcp = std::make_unique<net::TcpConnection>(loop, peer, *this);
    idle_until = loop.Now() + options.idle_timeout;
  }

  void Start(const ClientRequest& request, Callback on_result) {
    callback = std::move(on_result);
    matches_request = request.matches_request;
    is_head = request.request.method == "HEAD";
    in_call = true;
    stage = established ? CallStage::kSent : CallStage::kNotConnected;
    deadline = loop.Now() + request.timeout;
    transfer_timeouts = request.transfer;
    receiving_since.reset();
    reader.Restart(is_head);
    if (!tcp->IsOpen()) {
      // Posted, because callers expect the callback only after this function has returned.
      loop.Post([self = shared_from_this()] {
        self->Fail(ErrorCode::kUnavailable, "connect", "no socket", true);
      });
      return;
    }
    timer.StartOnce(established ? request.timeout
                                : std::min(request.timeout, options.connect_timeout));
    const std::string host = request.host.empty() ? ToString(peer) : request.host;
    const Body& body = request.request.body;
    tcp->Write(SerializeRequestHead(request.request, host, false), {body.Bytes(), body.Owner()});
  }

  void OnConnected() override {
    established = true;
    if (in_call) {
      stage = CallStage::kSent;
      StartTimerUntil(deadline);
    }
  }

  void OnBytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    RecordProgress();
    while (!bytes.empty() && in_call && !unusable) {
      bytes.remove_prefix(reader.Read(bytes));
      if (reader.IsHeadComplete()) {
        stage = CallStage::kResponseStarted;
      }
      if (reader.Fault().has_value()) {
        OnReaderFault();
        return;
      }
      if (!reader.IsComplete()) {
        return;
      }
      HandleResponse(!bytes.empty());
    }
    if (!bytes.empty()) {
      // Closes the connection on unsolicited bytes: what follows could be taken for a response to
      // the next request.
      unusable = true;
      tcp.reset();
    }
  }

  void RecordProgress() {
    received_at = loop.Now();
    if (in_call && !receiving_since.has_value()) {
      receiving_since = received_at;
      if (transfer_timeouts.has_value()) {
        StartTimerUntil(TransferDeadline());
      }
    }
  }

  TimePoint TransferDeadline() const {
    return std::min(received_at + transfer_timeouts->stall,
                    *receiving_since + transfer_timeouts->total);
  }

  void StartTimerUntil(TimePoint end) {
    timer.StartOnce(std::max(milliseconds(1), std::chrono::ceil<milliseconds>(end - loop.Now())));
  }

  /** Fails the call if its response is rejected; no effect on a later call. */
  void OnReaderFault() {
    if (reader.Fault().has_value()) {
      Fail(ErrorCode::kProtocol, "read response", ToString(*reader.Fault()), false);
    }
  }

  void HandleResponse(bool bytes_follow) {
    HttpResponse response = std::move(reader.Response());
    const bool keep_alive = reader.KeepsConnection();
    reader.Restart(is_head);
    if (matches_request != nullptr && !matches_request(response)) {
      saw_unmatched_response = true;
      if (!keep_alive) {
        Fail(ErrorCode::kProtocol, "read response", "response to another request", false);
      }
      return;
    }
    const bool sent_completely = tcp != nullptr && tcp->QueuedBytes() == 0;
    if (!keep_alive || bytes_follow || saw_unmatched_response || !sent_completely) {
      unusable = true;
    }
    const auto peer_timeout = KeepAliveTimeout(response.headers);
    const milliseconds idle =
        peer_timeout.has_value() ? milliseconds(*peer_timeout) : options.idle_timeout;
    idle_until = loop.Now() + std::chrono::duration_cast<milliseconds>(idle * kIdleTimeoutFraction);
    Finish(std::move(response));
  }

  void OnEnd(net::TcpEnd end, const Error& error) override {
    const auto self = shared_from_this();
    unusable = true;
    if (!in_call) {
      return;
    }
    if (end == net::TcpEnd::kClosedByPeer) {
      reader.ReadEnd();
      if (reader.IsComplete()) {
        HandleResponse(false);
        return;
      }
    }
    Fail(error.code, error.step.c_str(), error.detail.c_str(), true);
  }

  void OnTimer() {
    const bool is_transfer = transfer_timeouts.has_value() && receiving_since.has_value();
    if (is_transfer && loop.Now() < TransferDeadline()) {
      // Bytes have arrived since the timer was started.
      StartTimerUntil(TransferDeadline());
      return;
    }
    Fail(ErrorCode::kTimeout, established ? "wait for response" : "connect", "no progress in time",
         false);
  }

  void Fail(ErrorCode code, const char* step, const char* detail, bool closed_by_peer) {
    if (!in_call) {
      return;
    }
    unusable = true;
    Finish(HttpCallFailure{Error{code, step, ToString(peer), detail}, stage, closed_by_peer});
  }

  void Finish(HttpCallResult result) {
    in_call = false;
    receiving_since.reset();
    timer.Stop();
    if (unusable) {
      tcp.reset();
    }
    Callback run = std::move(callback);
    callback = nullptr;
    if (run != nullptr) {
      run(std::move(result));
    }
  }
};

ClientConnection::ClientConnection(net::EventLoop& loop, const IpEndpoint& peer,
                                   const ClientConnectionOptions& options)
    : m_impl(std::make_shared<Impl>(loop, peer, options)) {
  m_impl->Open();
}

ClientConnection::~ClientConnection() {
  m_impl->in_call = false;
  m_impl->unusable = true;
  m_impl->callback = nullptr;
  m_impl->timer.Stop();
  m_impl->tcp.reset();
}

void ClientConnection::Start(const ClientRequest& request, Callback callback) {
  m_impl->Start(request, std::move(callback));
}

bool ClientConnection::IsIdle() const noexcept { return !m_impl->in_call && !m_impl->unusable; }
bool ClientConnection::IsReceiving() const noexcept { return m_impl->receiving_since.has_value(); }
bool ClientConnection::IsUnusable() const noexcept { return m_impl->unusable; }
TimePoint ClientConnection::IdleUntil() const noexcept { return m_impl->idle_until; }

}  // namespace qh::http
