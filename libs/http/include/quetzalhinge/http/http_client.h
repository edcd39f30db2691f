#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/http/memory_budget.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** The stage that a call had reached when it failed. */
enum class CallStage {
  /** The connection was not established; no byte of the request was sent. */
  kNotConnected,
  /** The request may have reached the peer completely or in part; no response head was read. */
  kSent,
  /** A response head was read, but the response was not received completely. */
  kResponseStarted,
};

/** Returns the stable name of `stage`. */
const char* ToString(CallStage stage) noexcept;

/** Describes a call that ended without a complete response. */
struct HttpCallFailure {
  Error error;
  CallStage stage = CallStage::kNotConnected;
  /** Whether the peer refused, closed or reset the connection, as opposed to a local time-out. */
  bool closed_by_peer = false;
};

/** A complete response, or the failure of the call. */
using HttpCallResult = std::variant<HttpResponse, HttpCallFailure>;

/** Options of an HttpClient. */
struct HttpClientOptions {
  /** Time-out for establishing a connection. */
  std::chrono::milliseconds connect_timeout{500};
  /**
   * How long an idle connection stays in the pool. It is below 5 s, after which many servers close
   * idle connections: a request sent during such a close may or may not be executed.
   */
  std::chrono::milliseconds idle_timeout{4000};
  /**
   * Maximum size of a response body. A longer one fails the call at stage kResponseStarted. A head
   * of more than 16 KB fails it at stage kSent.
   */
  std::size_t max_response_bytes = 4 * 1024 * 1024;
  /**
   * Limits the response bodies of several clients together; null without such a limit. A call whose
   * response is rejected for it fails at stage kResponseStarted.
   */
  std::shared_ptr<MemoryBudget> memory_budget;
};

/** Handle of a call in progress. Destroying the handle does not cancel the call. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;

  /** Cancels the call and closes its connection. The callback does not run. */
  virtual void Cancel() = 0;
};

/**
 * HTTP/1.1 client for one peer with a pool of idle connections. A connection carries one call at a
 * time and returns to the pool only after a complete, correctly framed response. A response that
 * has neither Content-Length nor chunked coding fails the call, because truncation could not be
 * detected. So does a malformed head; a folded line (RFC 9112, section 5.2) counts as one.
 */
class HttpClient {
 public:
  /** Called once on the event loop, unless the call is cancelled. */
  using Callback = std::function<void(HttpCallResult result)>;

  HttpClient(net::EventLoop& loop, const IpEndpoint& peer, const HttpClientOptions& options);

  /** Cancels the calls in progress. Their callbacks do not run. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Starts a call. Adds Host and Content-Length and removes hop-by-hop fields.
   * @param timeout limits the whole call; when it expires, the connection is closed and the call
   *        fails with ErrorCode::kTimeout
   */
  std::shared_ptr<HttpCall> Start(const HttpRequest& request, std::chrono::milliseconds timeout,
                                  Callback callback);

  /**
   * Starts a call on a new connection, which is closed afterwards. For requests that must not be
   * sent on an idle connection whose peer may no longer respond.
   */
  std::shared_ptr<HttpCall> StartOnNewConnection(const HttpRequest& request,
                                                 std::chrono::milliseconds timeout,
                                                 Callback callback);

  /** Closes all idle connections. Calls in progress continue; their connections are not reused. */
  void DiscardIdleConnections();

  const IpEndpoint& Peer() const noexcept;

  std::size_t InProgress() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
