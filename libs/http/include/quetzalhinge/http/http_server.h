#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** Makes the response to what the server itself refuses. */
using RefusalResponse = std::function<HttpResponse(Refusal refusal)>;

/** Options of an HttpServer. */
struct HttpServerOptions {
  /** Address to listen on; port 0 takes a free one. */
  IpEndpoint listen;
  /** Largest body that is read; longer ones are refused before the handler runs. */
  std::size_t max_body_bytes = 1024 * 1024;
  /** How long a peer may take to send one request, head and body; then it is disconnected. */
  std::chrono::milliseconds request_timeout{10000};
  /** Makes the response to bad input; a plain status if it is not set. */
  RefusalResponse refusal_response = nullptr;
};

/** One request whose response is owed. Destroying it unanswered sends status 500. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /** Returns the request. */
  virtual const HttpRequest& Request() const noexcept = 0;

  /**
   * Returns whether the head described the body's length in two ways (RFC 9112, 6.3). HttpServer
   * refuses such requests itself.
   */
  virtual bool HasAmbiguousFraming() const noexcept { return false; }

  /** Returns the IP number of the peer; empty if it is not known. */
  virtual std::string PeerIp() const = 0;

  /** Returns whether the peer's connection is still open, as far as this side knows. */
  virtual bool IsConnected() const noexcept = 0;

  /** Sends the response. Must be called once; does nothing if the connection is gone. */
  virtual void Respond(HttpResponse response) = 0;

  /**
   * Closes the connection in place of a response, after sending `raw_bytes` as they are. For
   * stand-ins that cut or lose answers.
   */
  virtual void Abort(std::string_view raw_bytes) {
    (void)raw_bytes;
    Respond({500, {}, "", true});
  }
};

/** HTTP/1.1 server with fixed limits. Bodies are read completely before the handler runs. */
class HttpServer {
 public:
  /** Called for each request; may answer at once or keep the exchange and answer later. */
  using Handler = std::function<void(std::shared_ptr<HttpExchange> exchange)>;

  HttpServer(net::EventLoop& loop, const HttpServerOptions& options, Handler handler);

  /** Closes the listener and abandons open connections. */
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Starts to listen. The error's peer is the address. */
  Result<Success> Start();

  /** Returns the address that the server listens on. */
  IpEndpoint LocalEndpoint() const;

  /** Closes the listener; open connections go on. */
  void StopAccepting();

  /** Shuts down all open connections in both directions, without answering their requests. */
  void AbortConnections();

  /** Returns the number of open connections. */
  std::size_t OpenConnections() const noexcept;

  /** Returns the number of requests that were handed to the handler and are not answered yet. */
  std::size_t InProgress() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
