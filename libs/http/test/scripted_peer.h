#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/tcp_listener.h"

namespace qh::http {

using namespace std::chrono_literals;

/** Runs the loop until `done` returns true; fails the test if it does not within 20 s. */
inline void RunUntil(net::EventLoop& loop, const std::function<bool()>& done) {
  const TimePoint limit = loop.Now() + 20s;
  while (!done() && loop.Now() < limit) {
    loop.RunOnce(10ms);
  }
  REQUIRE(done());
}

/** A TCP peer that sends fixed bytes after each request head that it receives. */
class ScriptedPeer : public net::TcpObserver {
 public:
  ScriptedPeer(net::EventLoop& loop, std::string canned_response, bool close_after)
      : m_canned_response(std::move(canned_response)),
        m_close_after(close_after),
        m_listener(loop, [this, &loop](uv_stream_s* stream) {
          m_connection = std::make_unique<net::TcpConnection>(loop, stream, *this);
        }) {
    REQUIRE(IsOk(m_listener.Listen({"127.0.0.1", 0})));
  }

  IpEndpoint Endpoint() const { return m_listener.LocalEndpoint(); }
  const std::string& Received() const { return m_received; }
  bool PeerDisconnected() const { return m_peer_disconnected; }
  void Send(const std::string& bytes) { m_connection->Write(bytes); }

 private:
  void OnBytes(std::string_view bytes) override {
    m_received += bytes;
    if (bytes.find("\r\n\r\n") != std::string_view::npos && !m_canned_response.empty()) {
      m_connection->Write(m_canned_response);
      if (m_close_after) {
        m_connection->FinishWriting();
      }
    }
  }
  void OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) override { m_peer_disconnected = true; }

  std::string m_canned_response;
  bool m_close_after;
  std::string m_received;
  bool m_peer_disconnected = false;
  std::unique_ptr<net::TcpConnection> m_connection;
  net::TcpListener m_listener;
};

}  // namespace qh::http
