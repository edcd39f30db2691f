#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::net {

/** How a connection ended. */
enum class TcpEnd {
  /** It could not be established. */
  kNotConnected,
  /** The peer closed its sending side. All bytes that it had sent were received. */
  kClosedByPeer,
  /** It was reset by the peer, or closed because the peer stopped responding. */
  kBroken,
};

/** Receives the events of a TcpConnection. Every callback may destroy the connection. */
class TcpObserver {
 public:
  virtual ~TcpObserver() = default;

  /** The connection is established. Not called for accepted connections. */
  virtual void OnConnected() {}

  /** Bytes were received. `bytes` is valid only during the call. */
  virtual void OnBytes(std::string_view bytes) = 0;

  /**
   * No more bytes will be received. Called at most once. Writing may still be possible after
   * TcpEnd::kClosedByPeer.
   */
  virtual void OnEnd(TcpEnd end, const Error& error) = 0;

  /** All bytes that Write() had to queue have been handed over to the kernel. */
  virtual void OnAllWritten() {}
};

/** Bytes that are not copied, and the object that keeps them valid. */
struct SharedBytes {
  std::string_view bytes;
  std::shared_ptr<const void> owner;
};

/**
 * A TCP connection on the event loop. TCP keep-alive probes and TCP_USER_TIMEOUT detect within a
 * few seconds that the peer has stopped responding. Destroying the object closes the connection and
 * discards queued bytes; the observer is not called after that.
 */
class TcpConnection {
 public:
  /** Starts to connect to `peer`. */
  TcpConnection(EventLoop& loop, const IpEndpoint& peer, TcpObserver& observer);

  /** Accepts a pending connection of `listener`. IsOpen() is false if that failed. */
  TcpConnection(EventLoop& loop, uv_stream_s* listener, TcpObserver& observer);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /** Sends `bytes`. Queues them until the connection is established and the kernel has room. */
  void Write(std::string bytes) { Write(std::move(bytes), {}); }

  /** Sends `bytes`, then `more`, like Write(). Keeps the owner of `more` until they are sent. */
  void Write(std::string bytes, SharedBytes more);

  /** Closes the sending side after the queued bytes. */
  void FinishWriting();

  /** Pauses or resumes reading, to limit the memory that one peer can occupy. */
  void SetReading(bool reading);

  /** Returns whether the connection has neither ended nor failed. */
  bool IsOpen() const noexcept;

  /** Returns the number of bytes not yet handed over to the kernel. */
  std::size_t QueuedBytes() const noexcept;

  /** Returns the number of bytes that the peer has not acknowledged, including queued ones. */
  std::size_t UnacknowledgedBytes() const noexcept;

  const IpEndpoint& Peer() const noexcept;

 private:
  struct Impl;
  /** Owned by the libuv handle: its close callback deletes it after the connection is destroyed. */
  Impl* m_impl;
};

}  // namespace qh::net
