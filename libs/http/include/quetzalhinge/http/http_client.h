#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <variant>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** How far a call had come when it failed. */
enum class CallStage {
  /** No connection was established: no byte of the request was sent. */
  kNotConnected,
  /** The request may have reached the peer, wholly or in part; no response head was read. */
  kSent,
  /** A response head was read, but the response did not end well. */
  kResponseStarted,
};

/** Returns the stable name of `stage`. */
const char* ToString(CallStage stage) noexcept;

/** A call that ended without a whole response. */
struct HttpCallFailure {
  Error error;
  CallStage stage = CallStage::kNotConnected;
  /** Whether the peer closed or reset the connection, as opposed to a timeout on this side. */
  bool closed_by_peer = false;
};

/** A whole response, or how the call failed. */
using HttpCallResult = std::variant<HttpResponse, HttpCallFailure>;

/** Options of an HttpClient. */
struct HttpClientOptions {
  /** How long establishing a connection may take. */
  std::chrono::milliseconds connect_timeout{500};
  /**
   * How long an idle connection is kept for reuse. Below the 5 s after which many servers close
   * idle connections: a request that meets such a close may or may not have run.
   */
  std::chrono::milliseconds idle_timeout{4000};
  /** Longest response body; a longer one fails the call at stage kResponseStarted. */
  std::size_t max_response_bytes = 4 * 1024 * 1024;
};

/** A call in progress. Destroying it does not end the call; Cancel() does. */
class HttpCall {
 public:
  virtual ~HttpCall() = default;

  /** Ends the call and closes its connection; the callback will not run. */
  virtual void Cancel() = 0;
};

/**
 * HTTP/1.1 client of one peer, with a pool of idle connections. A connection carries one call at a
 * time and goes back to the pool only after a whole, well-framed response. A response without a
 * length and without chunked coding is refused, because a cut one could not be told from a whole
 * one.
 */
class HttpClient {
 public:
  /** Called once, on the loop, unless the call is cancelled. */
  using Callback = std::function<void(HttpCallResult result)>;

  HttpClient(net::EventLoop& loop, const IpEndpoint& peer, const HttpClientOptions& options);

  /** Cancels the calls in progress; their callbacks will not run. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Starts a call. Adds host and content-length and removes hop-by-hop fields.
   * @param timeout whole duration of the call; on expiry the connection is closed and the call
   *        fails with ErrorCode::kTimeout
   */
  std::shared_ptr<HttpCall> Start(const HttpRequest& request, std::chrono::milliseconds timeout,
                                  Callback callback);

  /**
   * Starts a call on a connection made for it, and closes that connection afterwards. For requests
   * that must not meet an idle connection that has gone silent.
   */
  std::shared_ptr<HttpCall> StartOnNewConnection(const HttpRequest& request,
                                                 std::chrono::milliseconds timeout,
                                                 Callback callback);

  /** Closes all idle connections. Calls in progress go on, but their connections are not reused. */
  void DiscardIdleConnections();

  /** Returns the peer's address. */
  const IpEndpoint& Peer() const noexcept;

  /** Returns the number of calls in progress. */
  std::size_t InProgress() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
