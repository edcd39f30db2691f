#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/http/message_reader.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::http {

/** Size limits and time-outs for the connections of a ConnectionServer. */
struct ConnectionLimits {
  /** Size limits for requests. */
  ReaderLimits message;
  /** Time-out from the first byte of a request to the end of its head. */
  std::chrono::milliseconds head_timeout{3000};
  /**
   * Time-out of a connection without a request, between two reads of a request body, and of a
   * response of which the peer reads nothing more.
   */
  std::chrono::milliseconds idle_timeout{15000};
  /**
   * Number of connections at which a new one replaces others: connections without a request in
   * progress, first those that have never completed a request, the longest without progress first,
   * and one that sends a response only if there is no other. If there is none, the new one is
   * closed.
   */
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
  /**
   * Size of the kernel's buffer for bytes that a connection has received and that are not read; 0
   * for the kernel's choice. Applies to servers that are not listening yet.
   */
  std::size_t receive_buffer_bytes = 0;
};

/** A complete request that awaits its response. Destroying it without one sends status 500. */
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const HttpRequest& Request() const noexcept = 0;

  /** Returns the address of the peer. */
  virtual const IpEndpoint& Peer() const noexcept = 0;

  /** Returns whether the peer's connection is still open. */
  virtual bool IsConnected() const noexcept = 0;

  /** Sets the callback for when the peer disconnects before the response is sent. */
  virtual void OnPeerGone(std::function<void()> callback) = 0;

  /** Sends the response. Does nothing if one was sent already or the connection is closed. */
  virtual void Respond(const HttpResponse& response) = 0;

  /** Sends `raw_bytes` unchanged instead of a response, and closes the connection. */
  virtual void Abort(std::string_view raw_bytes) = 0;
};

/** Why the server rejects a request without calling the handler. */
enum class Refusal {
  kMalformed,
  kAmbiguousFraming,
  kHeadTooLarge,
  kBodyTooLarge,
  kTimedOut,
  /** The memory for messages is used up. The request may succeed later or at another VM. */
  kNoMemory,
};

/** Returns the HTTP status code for `refusal`. */
int StatusOf(Refusal refusal) noexcept;

/** Numbers of requests that the server rejected without calling the handler. */
struct RefusalCounts {
  /** Includes ambiguous framing. */
  std::size_t malformed = 0;
  std::size_t head_too_large = 0;
  std::size_t body_too_large = 0;
  std::size_t timed_out = 0;
  std::size_t no_memory = 0;
};

/** Numbers of connections that the server closed because of ConnectionLimits::max_connections. */
struct ConnectionCounts {
  /** Closed to make room for new ones. */
  std::size_t replaced = 0;
  /** Closed as soon as they were accepted. */
  std::size_t not_accepted = 0;
};

/**
 * HTTP/1.1 server that continues to read while a request is in progress, so that it detects at once
 * when the peer disconnects. It handles one request per connection at a time; bytes of pipelined
 * requests are buffered.
 */
class ConnectionServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange> exchange)>;

  ConnectionServer(net::EventLoop& loop, const ConnectionLimits& limits, Handler handler);

  /** Closes the listener and all connections. */
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer&) = delete;
  ConnectionServer& operator=(const ConnectionServer&) = delete;

  /** Starts to listen on `endpoint`. An error names the address as its peer. */
  Result<Success> Listen(const IpEndpoint& endpoint);

  /** Returns the address that the server listens on, with the actual port. */
  IpEndpoint LocalEndpoint() const;

  /**
   * Replaces the limits. Time-outs apply at once; an open connection uses the new size limits after
   * the next request that it reads.
   */
  void SetLimits(const ConnectionLimits& limits);

  /** Sets the builder of responses to rejected requests. By default they have only a status. */
  void OnRefusal(std::function<HttpResponse(Refusal refusal)> make_response);

  /** Makes the server close each connection after its next response. */
  void CloseAfterResponses();

  /** Closes the listener. Open connections continue. */
  void StopAccepting();

  /** Closes the connections on which no request is being read or handled. */
  void CloseIdleConnections();

  /** Closes all connections without responding to their requests. */
  void AbortConnections();

  std::size_t OpenConnections() const noexcept;

  /** Returns the bytes of responses that wait to be sent. */
  std::size_t QueuedBytes() const;

  /** Returns the number of requests that await a response. */
  std::size_t InProgress() const noexcept;

  /** Returns the counts of rejected requests since the server was created. */
  const RefusalCounts& Refused() const noexcept;

  /** Returns the counts of closed connections since the server was created. */
  const ConnectionCounts& Closed() const noexcept;

  const ConnectionLimits& Limits() const noexcept;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::http
