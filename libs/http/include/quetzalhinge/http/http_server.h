#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** Builds the response to a request that the server rejects without calling the handler. */
using RefusalResponse = std::function<HttpResponse(Refusal refusal)>;

/** Options of an HttpServer. */
struct HttpServerOptions {
  /** Address to listen on. Port 0 selects a free port. */
  IpEndpoint listen;
  /** Maximum size of a request body. Longer ones are rejected before the handler runs. */
  std::size_t max_body_bytes = 1024 * 1024;
  /**
   * Time-out for reading a request head, between two reads of a request body, and of an idle
   * connection.
   */
  std::chrono::milliseconds request_timeout{10000};
  /** Builds the responses to rejected requests. By default they have only a status. */
  RefusalResponse refusal_response = nullptr;
  /** See ReaderLimits::memory_budget. */
  std::shared_ptr<MemoryBudget> memory_budget = nullptr;
  /** See ConnectionLimits::max_connections. */
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  /** See ConnectionLimits::receive_buffer_bytes. */
  std::size_t receive_buffer_bytes = 0;
};

/** A request that awaits its response. Destroying it without a response sends status 500. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const noexcept = 0;

  /**
   * Returns whether the length of the request body is ambiguous (RFC 9112, 6.3). HttpServer rejects
   * such requests without calling the handler.
   */
  virtual bool HasAmbiguousFraming() const noexcept { return false; }

  /** Returns the IP address of the peer, or an empty string if it is not known. */
  virtual std::string PeerIp() const = 0;

  /** Returns whether the peer's connection is still open as far as the server knows. */
  virtual bool IsConnected() const noexcept = 0;

  /** Sends the response. Must be called once. Does nothing if the connection is closed. */
  virtual void Respond(HttpResponse response) = 0;

  /**
   * Sends `raw_bytes` unchanged instead of a response, and closes the connection. Used by stand-in
   * servers that simulate truncated or lost responses.
   */
  virtual void Abort(std::string_view raw_bytes) {
    (void)raw_bytes;
    Respond({500, {}, "", true});
  }
};

/** HTTP/1.1 server with fixed limits. The handler runs after the request is read completely. */
class HttpServer {
 public:
  /** Called for each request. It may respond at once, or store the exchange and respond later. */
  using Handler = std::function<void(std::shared_ptr<HttpExchange> exchange)>;

  HttpServer(net::EventLoop& loop, const HttpServerOptions& options, Handler handler);

  /** Closes the listener and all open connections. */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Starts to listen. An error names the address as its peer. */
  Result<Success> Start();

  /** Returns the address that the server listens on, with the actual port. */
  IpEndpoint LocalEndpoint() const;

  /** Closes the listener. Open connections continue. */
  void StopAccepting();

  /** Closes all open connections without responding to their requests. */
  void AbortConnections();

  std::size_t OpenConnections() const noexcept;

  /** Returns the bytes of responses that wait to be sent. */
  std::size_t QueuedBytes() const;

  /** Returns the number of requests that were passed to the handler and await a response. */
  std::size_t InProgress() const noexcept;

  /** Returns the server that owns the connections, for its counts. */
  const ConnectionServer& Connections() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
