#include "quetzalhinge/http/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <utility>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/net/timer.h"
#include "request_head.h"
#include "status_code_check.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

constexpr EnumTable<CallStage, 3> kStageNames{{{
    {CallStage::kNotConnected, "not_connected"},
    {CallStage::kSent, "sent"},
    {CallStage::kResponseStarted, "response_started"},
}}};

/** Time-out of h2o for one read or write. It is long because each call has its own time-out. */
constexpr milliseconds kIoTimeout{900000};

/** Maximum number of idle connections in the pool. More may be open for calls in progress. */
constexpr std::size_t kMaxIdleConnections = 256;

/**
 * Limit of a response head, and the interval at which it is checked. h2o has no such limit and
 * reports nothing before the head is complete.
 */
constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr milliseconds kHeadCheckInterval{50};

std::string Lower(const h2o_iovec_t& text) {
  std::string lower(text.base, text.len);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

bool HasBody(const std::string& method, int status) {
  return method != "HEAD" && status != 204 && status != 304 && status >= 200;
}

}  // namespace

const char* ToString(CallStage stage) noexcept { return kStageNames.NameOf(stage); }

namespace {

/**
 * Destroys `object` after the loop has closed the timers in it. The loop closes them at the end of
 * an iteration; the inner task runs in a later one.
 */
template <typename Object>
void DestroyAfterHandlesClose(net::EventLoop& loop, std::unique_ptr<Object> object) {
  loop.Post(
      [&loop, shared = std::shared_ptr<Object>(std::move(object))] { loop.Post([shared] {}); });
}

/** Owns the h2o pool of connections to one peer. It is shared by the client and its calls. */
struct ConnectionPool {
  std::unique_ptr<h2o_socketpool_t> pool = std::make_unique<h2o_socketpool_t>();
  net::EventLoop& loop;

  ConnectionPool(net::EventLoop& event_loop, const IpEndpoint& peer, milliseconds idle_timeout)
      : loop(event_loop) {
    sockaddr_in address = ToSockaddr(peer);
    h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&address),
                                   sizeof(address), 0, kMaxIdleConnections);
    h2o_socketpool_set_timeout(pool.get(), loop.Handle(),
                               static_cast<std::uint64_t>(idle_timeout.count()));
  }
  ~ConnectionPool() {
    h2o_socketpool_dispose(pool.get());
    DestroyAfterHandlesClose(loop, std::move(pool));
  }
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
};

}  // namespace

struct HttpClient::Impl {
  class Call;

  net::EventLoop& loop;
  IpEndpoint peer;
  HttpClientOptions options;
  std::unique_ptr<h2o_timeout_t> io_timeout = std::make_unique<h2o_timeout_t>();
  h2o_http1client_ctx_t context{};
  std::shared_ptr<ConnectionPool> pool;
  std::set<std::shared_ptr<Call>> calls;
  net::Timer head_check;

  Impl(net::EventLoop& event_loop, IpEndpoint peer_endpoint,
       const HttpClientOptions& client_options)
      : loop(event_loop),
        peer(std::move(peer_endpoint)),
        options(client_options),
        head_check(loop, [this] { CheckHeads(); }) {
    h2o_timeout_init(loop.Handle(), io_timeout.get(),
                     static_cast<std::uint64_t>(kIoTimeout.count()));
    context.loop = loop.Handle();
    context.io_timeout = io_timeout.get();
    pool = std::make_shared<ConnectionPool>(loop, peer, options.idle_timeout);
  }
  ~Impl() {
    DestroyLater(std::move(pool));
    h2o_timeout_dispose(loop.Handle(), io_timeout.get());
    DestroyAfterHandlesClose(loop, std::move(io_timeout));
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void AddCall(const std::shared_ptr<Call>& call) {
    if (calls.empty()) {
      head_check.StartRepeating(kHeadCheckInterval);
    }
    calls.insert(call);
  }

  /** Ends the calls whose response heads are too large. */
  void CheckHeads();

  /**
   * Releases `old_pool` in a later iteration of the loop, because h2o returns a connection to its
   * pool only after the last callback of the call.
   */
  void DestroyLater(std::shared_ptr<ConnectionPool> old_pool) {
    loop.Post([released = std::move(old_pool)] {});
  }
};

/** One call: connects, sends the request, reads the response and reports the result once. */
class HttpClient::Impl::Call : public HttpCall, public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<Impl> client, const HttpRequest& request, bool new_connection,
       Callback callback)
      : m_client(std::move(client)),
        m_pool(new_connection ? nullptr : m_client->pool),
        m_method(request.method),
        m_head(SerializeRequestHead(request, ToString(m_client->peer), new_connection)),
        m_body(request.body),
        m_callback(std::move(callback)),
        m_memory(MakeReservation()),
        m_timer(m_client->loop, [this] { OnTimer(); }) {
    m_buffers[0] = h2o_iovec_init(m_head.data(), m_head.size());
    m_buffers[1] = h2o_iovec_init(m_body.Bytes().data(), m_body.size());
  }

  void Begin(milliseconds timeout) {
    m_deadline = m_client->loop.Now() + timeout;
    m_timer.StartOnce(std::min(timeout, m_client->options.connect_timeout));
    if (m_pool != nullptr) {
      h2o_http1client_connect_with_pool(&m_h2o_client, this, &m_client->context, m_pool->pool.get(),
                                        OnConnected);
    } else {
      h2o_http1client_connect(&m_h2o_client, this, &m_client->context,
                              h2o_iovec_init(m_client->peer.ip.data(), m_client->peer.ip.size()),
                              m_client->peer.port, 0, OnConnected);
    }
  }

  /** Ends the call if its response head is too large although it is not complete. */
  void CheckHead() {
    if (m_stage != CallStage::kSent || m_h2o_client == nullptr ||
        m_h2o_client->sock->input->size <= kMaxHeadBytes) {
      return;
    }
    AbortConnection();
    Fail(ErrorCode::kProtocol, "read response head", "head is larger than allowed", false);
  }

  void Cancel() override {
    m_cancelled = true;
    if (!m_ended) {
      AbortConnection();
      End();
    }
  }

 private:
  static Call& From(h2o_http1client_t* client) { return *static_cast<Call*>(client->data); }

  static h2o_http1client_head_cb OnConnected(h2o_http1client_t* client, const char* error,
                                             h2o_iovec_t** buffers, std::size_t* buffer_count,
                                             int* method_is_head) {
    Call& call = From(client);
    if (error != nullptr) {
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kUnavailable, "connect", error, true);
      return nullptr;
    }
    call.m_stage = CallStage::kSent;
    call.m_timer.StartOnce(call.TimeLeft());
    *buffers = call.m_buffers.data();
    *buffer_count = call.m_body.empty() ? 1 : 2;
    *method_is_head = call.m_method == "HEAD" ? 1 : 0;
    return OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client, const char* error,
                                        int /*minor_version*/, int status, h2o_iovec_t /*reason*/,
                                        h2o_header_t* headers, std::size_t header_count,
                                        int /*head_length*/) {
    Call& call = From(client);
    const bool ended = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !ended) {
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kUnavailable, "read response head", error, true);
      return nullptr;
    }
    call.m_stage = CallStage::kResponseStarted;
    if (!IsValidStatus(status)) {
      // Returning no callback makes h2o close the connection.
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kProtocol, "read response head", "invalid status code", false);
      return nullptr;
    }
    call.m_response.status = status;
    for (std::size_t i = 0; i < header_count; ++i) {
      if (headers[i].name->len == 0) {
        // h2o turns a folded line, which starts with a blank, into a field without a name.
        call.m_h2o_client = nullptr;
        call.Fail(ErrorCode::kProtocol, "read response head", "folded header line", false);
        return nullptr;
      }
      call.m_response.headers.push_back(
          {Lower(*headers[i].name), std::string(headers[i].value.base, headers[i].value.len)});
    }
    if (HasBody(call.m_method, status) && !call.HasBodyLength()) {
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kProtocol, "read response head", "response without a length", false);
      return nullptr;
    }
    if (ended) {
      call.m_h2o_client = nullptr;
      call.Succeed();
      return nullptr;
    }
    return OnBody;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    Call& call = From(client);
    h2o_buffer_t* input = client->sock->input;
    // h2o reports a connection that closes between two chunks as the end of the body. The real last
    // chunk is always part of bytes that were read.
    const bool closed_between_chunks =
        call.IsChunked() && error != nullptr && client->sock->bytes_read == 0;
    const bool ended = error == h2o_http1client_error_is_eos && !closed_between_chunks;
    if (error != nullptr && !ended) {
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kUnavailable, "read response body",
                closed_between_chunks ? "closed before the last chunk" : error, true);
      return -1;
    }
    call.m_response.body.Append({input->bytes, input->size});
    h2o_buffer_consume(&client->sock->input, input->size);
    if (call.m_memory != nullptr && !call.m_memory->Resize(call.m_response.body.capacity())) {
      call.m_h2o_client = nullptr;
      call.FailForMemory();
      return -1;
    }
    if (call.m_response.body.size() > call.m_client->options.max_response_bytes) {
      call.m_h2o_client = nullptr;
      call.Fail(ErrorCode::kExhausted, "read response body", "response is longer than allowed",
                false);
      return -1;
    }
    if (ended) {
      call.m_h2o_client = nullptr;
      call.Succeed();
    }
    return 0;
  }

  bool HasBodyLength() const {
    return FindHeader(m_response.headers, "content-length").has_value() ||
           FindHeader(m_response.headers, "transfer-encoding").has_value();
  }

  bool IsChunked() const { return FindHeader(m_response.headers, "transfer-encoding").has_value(); }

  milliseconds TimeLeft() const {
    const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - m_client->loop.Now());
    return std::max(milliseconds(0), left);
  }

  void OnTimer() {
    const char* step = m_stage == CallStage::kNotConnected ? "connect" : "wait for response";
    AbortConnection();
    Fail(ErrorCode::kTimeout, step, "no progress in time", false);
  }

  void AbortConnection() {
    if (m_h2o_client != nullptr) {
      h2o_http1client_cancel(m_h2o_client);
      m_h2o_client = nullptr;
    }
  }

  /** Ends the call because its response does not fit into the memory budget. */
  void FailForMemory() {
    AbortConnection();
    // Moved out, because assigning an empty string keeps the memory of the old one.
    const HttpResponse freed_response = std::exchange(m_response, {});
    Fail(ErrorCode::kExhausted, "read response body", "no memory for the response", false);
  }

  void Fail(ErrorCode code, const char* step, const char* detail, bool closed_by_peer) {
    Report(HttpCallFailure{Error{code, step, ToString(m_client->peer), detail}, m_stage,
                           closed_by_peer});
  }

  void Succeed() {
    if (m_memory != nullptr) {
      m_memory->Complete();
      m_response.body.Keep(std::move(m_memory));
    }
    Report(std::move(m_response));
  }

  /** Returns the reservation for the response, or null without a budget. */
  std::shared_ptr<MemoryReservation> MakeReservation() {
    const std::shared_ptr<MemoryBudget>& budget = m_client->options.memory_budget;
    return budget == nullptr ? nullptr
                             : std::make_shared<MemoryReservation>(budget, MessageKind::kResponse,
                                                                   [this] { FailForMemory(); });
  }

  void Report(HttpCallResult result) {
    if (m_ended) {
      return;
    }
    Callback callback = std::move(m_callback);
    End();
    // Posted, so that h2o is done with the connection before the callback starts other calls.
    m_client->loop.Post([callback = std::move(callback),
                         shared_result = std::make_shared<HttpCallResult>(std::move(result)),
                         self = shared_from_this()] {
      if (callback != nullptr && !self->m_cancelled) {
        callback(std::move(*shared_result));
      }
    });
  }

  void End() {
    m_ended = true;
    m_timer.Stop();
    m_memory.reset();
    if (m_pool != nullptr) {
      m_client->DestroyLater(std::move(m_pool));
    }
    // Keeps this object alive until the caller has returned: `calls` may own the last reference.
    const std::shared_ptr<Call> self = shared_from_this();
    m_client->calls.erase(self);
    if (m_client->calls.empty()) {
      m_client->head_check.Stop();
    }
    m_client->loop.Post([self] {});
  }

  std::shared_ptr<Impl> m_client;
  std::shared_ptr<ConnectionPool> m_pool;
  std::string m_method;
  std::string m_head;
  Body m_body;
  std::array<h2o_iovec_t, 2> m_buffers{};
  Callback m_callback;
  std::shared_ptr<MemoryReservation> m_memory;
  net::Timer m_timer;
  TimePoint m_deadline{};
  h2o_http1client_t* m_h2o_client = nullptr;
  HttpResponse m_response;
  CallStage m_stage = CallStage::kNotConnected;
  bool m_ended = false;
  bool m_cancelled = false;
};

void HttpClient::Impl::CheckHeads() {
  // A copy, because a call that ends leaves the set.
  const std::set<std::shared_ptr<Call>> checked = calls;
  for (const std::shared_ptr<Call>& call : checked) {
    call->CheckHead();
  }
}

HttpClient::HttpClient(net::EventLoop& loop, const IpEndpoint& peer,
                       const HttpClientOptions& options)
    : m_impl(std::make_shared<Impl>(loop, peer, options)) {}

HttpClient::~HttpClient() {
  const std::set<std::shared_ptr<Impl::Call>> calls = m_impl->calls;
  for (const std::shared_ptr<Impl::Call>& call : calls) {
    call->Cancel();
  }
}

std::shared_ptr<HttpCall> HttpClient::Start(const HttpRequest& request, milliseconds timeout,
                                            Callback callback) {
  auto call = std::make_shared<Impl::Call>(m_impl, request, false, std::move(callback));
  m_impl->AddCall(call);
  call->Begin(timeout);
  return call;
}

std::shared_ptr<HttpCall> HttpClient::StartOnNewConnection(const HttpRequest& request,
                                                           milliseconds timeout,
                                                           Callback callback) {
  auto call = std::make_shared<Impl::Call>(m_impl, request, true, std::move(callback));
  m_impl->AddCall(call);
  call->Begin(timeout);
  return call;
}

void HttpClient::DiscardIdleConnections() {
  m_impl->DestroyLater(std::move(m_impl->pool));
  m_impl->pool =
      std::make_shared<ConnectionPool>(m_impl->loop, m_impl->peer, m_impl->options.idle_timeout);
}

const IpEndpoint& HttpClient::Peer() const noexcept { return m_impl->peer; }

std::size_t HttpClient::InProgress() const noexcept { return m_impl->calls.size(); }

}  // namespace qh::http
