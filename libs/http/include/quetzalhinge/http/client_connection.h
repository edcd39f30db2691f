#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/http/message_reader.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** Options of a ClientConnection. */
struct ClientConnectionOptions {
  /** Time-out for establishing the TCP connection. */
  std::chrono::milliseconds connect_timeout{1000};
  /** Assumed idle time-out of the peer when its response has no "Keep-Alive: timeout=". */
  std::chrono::milliseconds idle_timeout{4000};
  /** Size limits for responses. */
  ReaderLimits limits;
};

/** Time-outs of a response from its first byte on, for responses that may take long to arrive. */
struct TransferTimeouts {
  /** Longest time without a byte. */
  std::chrono::milliseconds stall{1000};
  /** Longest time from the first byte to the end of the response. */
  std::chrono::milliseconds total{10000};
};

/** A request and how to send it. */
struct ClientRequest {
  /** Method, path, headers and body. The Host and Content-Length fields are added on sending. */
  HttpRequest request;
  /** Value of the Host header; the peer's address if empty. */
  std::string host;
  /** Time-out for the whole call, including establishing the connection. */
  std::chrono::milliseconds timeout{1000};
  /** If set, `timeout` only covers the time until the first byte of the response. */
  std::optional<TransferTimeouts> transfer;
  /**
   * Returns whether a complete response belongs to this request. Any other response is a late one
   * to an earlier call: it is discarded, and the connection is not reused. If empty, every response
   * matches.
   */
  std::function<bool(const HttpResponse& response)> matches_request;
};

/**
 * One HTTP/1.1 connection to a peer that carries one call at a time. It cannot be reused after
 * unsolicited bytes, a failure, or a response after which the peer closes the connection.
 * Destroying the object closes the connection and cancels the call without running its callback.
 */
class ClientConnection {
 public:
  /** Called once per call. A response passed to it is complete and correctly framed. */
  using Callback = std::function<void(HttpCallResult result)>;

  ClientConnection(net::EventLoop& loop, const IpEndpoint& peer,
                   const ClientConnectionOptions& options);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Starts a call. Requires IsIdle(). */
  void Start(const ClientRequest& request, Callback callback);

  /** Returns whether a call may start: none is in progress and the connection can be reused. */
  bool IsIdle() const noexcept;

  /** Returns whether a response to the call in progress has started to arrive. */
  bool IsReceiving() const noexcept;

  /** Returns whether the connection is closed or must not be reused. */
  bool IsUnusable() const noexcept;

  /** Returns the time from which on the peer may close the connection if it stays idle. */
  TimePoint IdleUntil() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
