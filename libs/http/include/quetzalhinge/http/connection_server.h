#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/http/message_reader.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** What a peer may send, and how long it may take or stay idle. */
struct ConnectionLimits {
  ReaderLimits message;
  /** From the first byte of a request to the end of its head. */
  std::chrono::milliseconds head_timeout{3000};
  /** Without a request in progress; also between two reads of a body. */
  std::chrono::milliseconds idle_timeout{15000};
};

/** One request that has been read completely and whose response is owed. */
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  /** Returns the request. */
  virtual const HttpRequest& Request() const noexcept = 0;

  /** Returns the IP number of the peer. */
  virtual const IpEndpoint& Peer() const noexcept = 0;

  /** Returns whether the peer's connection is still open. */
  virtual bool IsConnected() const noexcept = 0;

  /** Sets what to do when the peer closes its connection before the response is sent. */
  virtual void OnPeerGone(std::function<void()> callback) = 0;

  /** Sends the response; does nothing if the connection is gone or a response was sent. */
  virtual void Respond(const HttpResponse& response) = 0;

  /** Closes the connection in place of a response, after sending `raw_bytes` as they are. */
  virtual void Abort(std::string_view raw_bytes) = 0;
};

/** Why the server itself refuses a request; the handler never sees it. */
enum class Refusal { kMalformed, kAmbiguousFraming, kHeadTooLarge, kBodyTooLarge, kTimedOut };

/** Returns the status that answers `refusal`. */
int StatusOf(Refusal refusal) noexcept;

/** What the server itself has refused. */
struct RefusalCounts {
  std::size_t malformed = 0;
  std::size_t head_too_large = 0;
  std::size_t body_too_large = 0;
  std::size_t timed_out = 0;
};

/**
 * HTTP/1.1 server that reads on while a response is owed, so that it learns at once when a caller
 * leaves. One request of a connection is handled at a time; bytes of the next one wait.
 */
class ConnectionServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange> exchange)>;

  ConnectionServer(net::EventLoop& loop, const ConnectionLimits& limits, Handler handler);

  /** Closes the listener and all connections. */
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  /** Starts to listen. The error's peer is the address. */
  Result<Success> Listen(const IpEndpoint& endpoint);

  /** Returns the address that the server listens on. */
  IpEndpoint LocalEndpoint() const;

  /** Applies other limits, also to open connections from their next request on. */
  void SetLimits(const ConnectionLimits& limits);

  /** Sets the response to what the server itself refuses; a plain status if it is not set. */
  void OnRefusal(std::function<HttpResponse(Refusal refusal)> make_response);

  /** From now on each response ends its connection. */
  void CloseAfterResponses();

  /** Closes the listener. Open connections go on. */
  void StopAccepting();

  /** Closes connections without a request in progress. */
  void CloseIdleConnections();

  /** Closes all connections, without answering their requests. */
  void AbortConnections();

  /** Returns the number of open connections. */
  std::size_t OpenConnections() const noexcept;

  /** Returns the number of requests whose response is owed. */
  std::size_t InProgress() const noexcept;

  /** Returns what the server itself has refused so far. */
  const RefusalCounts& Refused() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
