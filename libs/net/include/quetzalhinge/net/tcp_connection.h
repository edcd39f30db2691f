#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

struct uv_stream_s;

namespace qh::net {

/** How a connection ended, seen from this side. */
enum class TcpEnd {
  /** It was never established. */
  kNotConnected,
  /** The peer finished sending. */
  kClosedByPeer,
  /** Reset by the peer, or given up because the peer has gone silent. */
  kBroken,
};

/** Receives what happens on a TcpConnection. Every call may destroy the connection. */
class TcpObserver {
 public:
  virtual ~TcpObserver() = default;

  /** The connection is established. Not called for accepted connections. */
  virtual void OnConnected() {}

  /** Bytes came; `bytes` is valid during the call only. */
  virtual void OnBytes(std::string_view bytes) = 0;

  /** Nothing will come any more. Called once at most; writing may still be possible after
   * TcpEnd::kClosedByPeer. */
  virtual void OnEnd(TcpEnd end, const Error& error) = 0;

  /** All bytes given to Write() have been handed to the kernel. */
  virtual void OnAllWritten() {}
};

/**
 * A TCP connection on the loop. Keep-alive probes and a limit on unacknowledged bytes make sure
 * that a peer that has gone silent is noticed within some seconds. Destroying it closes it; bytes
 * that are still queued are dropped, and the observer is not called any more.
 */
class TcpConnection {
 public:
  /** Starts to connect to `peer`. */
  TcpConnection(EventLoop& loop, const IpEndpoint& peer, TcpObserver& observer);

  /** Accepts the connection that waits at `listener`; IsOpen() is false if that failed. */
  TcpConnection(EventLoop& loop, uv_stream_s* listener, TcpObserver& observer);

  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  /** Queues `bytes`; before the connection is established they are kept. */
  void Write(std::string bytes);

  /** Tells the peer that nothing more will be sent, after the queued bytes. */
  void FinishWriting();

  /** Stops or resumes reading, to bound what one peer can make this process hold. */
  void SetReading(bool reading);

  /** Returns whether no end has been seen and writing has not failed. */
  bool IsOpen() const noexcept;

  /** Returns the bytes that the kernel has not taken yet. */
  std::size_t QueuedBytes() const noexcept;

  /** Returns the peer's address. */
  const IpEndpoint& Peer() const noexcept;

 private:
  struct Impl;
  /** Freed by libuv's close callback, after the connection is gone. */
  Impl* m_impl;
};

}  // namespace qh::net
