#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/tcp_listener.h"
#include "quetzalhinge/net/timer.h"
#include "refusals.h"

namespace qh::http {

/** The listener and the connections of a ConnectionServer. */
struct ConnectionServer::Impl : public std::enable_shared_from_this<ConnectionServer::Impl> {
  class Connection;
  class Exchange;

  net::EventLoop& loop;
  ConnectionLimits limits;
  Handler handler;
  std::unique_ptr<net::TcpListener> listener;
  IpEndpoint local;
  net::Timer sweep;
  std::map<Connection*, std::shared_ptr<Connection>> connections;
  std::size_t in_progress = 0;
  bool close_after_responses = false;
  RefusalCounts refused;
  ConnectionCounts closed;
  std::function<HttpResponse(Refusal)> make_refusal;

  Impl(net::EventLoop& event_loop, const ConnectionLimits& connection_limits, Handler on_request)
      : loop(event_loop),
        limits(connection_limits),
        handler(std::move(on_request)),
        sweep(loop, [this] { Sweep(); }) {}

  void Accept(uv_stream_s* stream);

  /** Closes connections so that a new one is below the limit, if there are any to close. */
  void MakeRoom();
  void Sweep();
};

/** A connection: reads requests, one at a time, and sends their responses. */
class ConnectionServer::Impl::Connection : public net::TcpObserver,
                                           public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& server, uv_stream_s* listener)
      : m_server(server),
        m_reader(MessageKind::kRequest, server.limits.message),
        m_tcp(std::make_unique<net::TcpConnection>(server.loop, listener, *this)),
        m_wait_started(server.loop.Now()) {}

  /** Completes the set-up, which needs the shared pointer to this object. */
  void Start() {
    m_reader.OnRevoked([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        // Posted, because another connection is reading.
        self->m_server.loop.Post([self] { self->RefuseFaultyRequest(); });
      }
    });
  }

  bool IsOpen() const { return m_tcp != nullptr && m_tcp->IsOpen(); }
  bool IsIdle() const { return m_exchange.expired() && !m_lingering && !m_reader.IsStarted(); }

  /** Returns whether no request is in progress. */
  bool IsReplaceable() const { return m_exchange.expired(); }

  /** Returns whether a response waits to be sent. */
  bool IsSending() const { return QueuedBytes() > 0; }

  /** Returns whether this connection is to be closed before `other` to make room. */
  bool IsReplacedBefore(const Connection& other) const {
    if (IsSending() != other.IsSending()) {
      return !IsSending();
    }
    return m_has_served != other.m_has_served ? !m_has_served
                                              : m_wait_started < other.m_wait_started;
  }

  const IpEndpoint& Peer() const { return m_tcp->Peer(); }
  std::size_t QueuedBytes() const { return m_tcp == nullptr ? 0 : m_tcp->QueuedBytes(); }
  void OnBytes(std::string_view bytes) override;
  void OnEnd(net::TcpEnd end, const Error& error) override;
  void OnAllWritten() override {
    m_wait_started = m_server.loop.Now();
    if (MayReadRequest()) {
      ReadNextRequest();
    }
  }
  void Send(const HttpResponse& response, bool is_head);
  void CheckTimeouts(TimePoint now);

  /** Sends `bytes` unchanged and starts a lingering close. */
  void SendRaw(std::string_view bytes) {
    if (m_tcp != nullptr) {
      m_exchange.reset();
      m_unparsed.clear();
      m_tcp->Write(std::string(bytes));
      StartLingeringClose();
    }
  }

  /** Closes at once. The peer sees a reset if some of its bytes were not read. */
  void CloseNow();

  /** Closes the sending side after the queued bytes and waits for the peer to close its side. */
  void StartLingeringClose() {
    m_lingering = true;
    m_wait_started = m_server.loop.Now();
    m_tcp->FinishWriting();
    m_tcp->SetReading(true);
  }

 private:
  /** Reads requests from `bytes` as long as MayReadRequest(); returns the bytes it has used. */
  std::size_t ParseRequests(std::string_view bytes);

  void ParseBufferedRequests();
  void ReadNextRequest();

  /**
   * Reserves memory for the body of a response until it is sent, unless the body brings its
   * reservation along. Returns false if there is no memory.
   */
  bool ReserveMemoryFor(Body& body) const;
  void DispatchRequest();
  void Refuse(Refusal refusal);

  /** Refuses the request that is being read if it was rejected. */
  void RefuseFaultyRequest() {
    if (m_reader.Fault().has_value() && !m_lingering && m_tcp != nullptr) {
      Refuse(RefusalOf(*m_reader.Fault()));
    }
  }

  /**
   * Returns whether the next request may be read: none is in progress, and the last response has
   * been sent, so that a peer that does not read cannot make the server hold more responses.
   */
  bool MayReadRequest() const {
    return m_exchange.expired() && !m_lingering && m_tcp != nullptr && m_tcp->QueuedBytes() == 0;
  }

  void SendContinueIfExpected();

  Impl& m_server;
  MessageReader m_reader;
  std::unique_ptr<net::TcpConnection> m_tcp;
  /** Received bytes that the reader has not consumed yet. */
  std::string m_unparsed;
  /** The request in progress, if any. */
  std::weak_ptr<Exchange> m_exchange;
  /** Start of the wait that CheckTimeouts() limits. */
  TimePoint m_wait_started;
  /** Bytes of responses that the peer had not acknowledged at the last check. */
  std::size_t m_checked_unacknowledged_bytes = 0;
  bool m_continue_sent = false;
  /** Whether a complete request was read. */
  bool m_has_served = false;
  bool m_lingering = false;
  /** Whether ParseRequests() runs, which goes on with the next request itself. */
  bool m_parsing = false;
};

}  // namespace qh::http
