#pragma once

#include <chrono>
#include <functional>
#include <memory>
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
  /** How long establishing the connection may take. */
  std::chrono::milliseconds connect_timeout{1000};
  /** How long the peer is trusted to keep an idle connection when it names no time. */
  std::chrono::milliseconds idle_timeout{4000};
  /** Limits of responses. */
  ReaderLimits limits;
};

/** A request on its way to one peer. */
struct ClientRequest {
  /** Method, path, headers and body; host and content-length are added. */
  HttpRequest request;
  /** Value of the Host header; empty for the peer's address. */
  std::string host;
  /** Whole time for the call, with establishing the connection. */
  std::chrono::milliseconds timeout{1000};
  /**
   * Returns whether a complete response belongs to this call. Others are late answers to earlier
   * calls: they are dropped, and the connection is not used again. Empty accepts all.
   */
  std::function<bool(const HttpResponse& response)> matches_request;
};

/**
 * One HTTP/1.1 connection to a peer, for one call at a time. After bytes that belong to no call,
 * a failure, or a response that ends with the connection, it is not usable any more. Destroying it
 * closes the connection, which cancels the call; the callback will not run.
 */
class ClientConnection {
 public:
  /** Runs once; a response is complete and well framed. */
  using Callback = std::function<void(HttpCallResult result)>;

  ClientConnection(net::EventLoop& loop, const IpEndpoint& peer,
                   const ClientConnectionOptions& options);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /** Starts a call; IsIdle() must be true. */
  void Start(const ClientRequest& request, Callback callback);

  /** Returns whether a call may start: no call is in progress and nothing speaks against it. */
  bool IsIdle() const noexcept;

  /** Returns whether the connection has ended or must not be used again. */
  bool IsSpent() const noexcept;

  /** Returns when the peer may close the connection if it stays idle. */
  TimePoint IdleUntil() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
