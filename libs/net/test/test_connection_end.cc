#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/testing/raw_peer.h"

namespace qh::net {
namespace {

using namespace std::chrono_literals;

/** A connection to a peer that the test controls. */
class Client : public TcpObserver {
 public:
  explicit Client(EventLoop& loop) : m_loop(loop), m_tcp(loop, m_peer.Endpoint(), *this) {
    RunUntil([&] { return m_connected; });
    m_peer.Accept();
    // Registers the socket for reading, so that the loop sees what follows in the order in which it
    // happens.
    m_loop.RunOnce(1ms);
  }

  test::RawPeer& Peer() { return m_peer; }
  TcpConnection& Tcp() { return m_tcp; }
  const std::string& Received() const { return m_received; }

  /** Runs the loop until the connection ends. */
  TcpEnd RunUntilEnd() {
    RunUntil([&] { return m_end.has_value(); });
    return *m_end;
  }

 private:
  void RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = m_loop.Now() + 20s;
    while (!done() && m_loop.Now() < limit) {
      m_loop.RunOnce(10ms);
    }
    REQUIRE(done());
  }

  void OnConnected() override { m_connected = true; }
  void OnBytes(std::string_view bytes) override { m_received += bytes; }
  void OnEnd(TcpEnd end, const Error& /*error*/) override { m_end = end; }

  EventLoop& m_loop;
  test::RawPeer m_peer;
  bool m_connected = false;
  std::string m_received;
  std::optional<TcpEnd> m_end;
  TcpConnection m_tcp;
};

}  // namespace

// Guards against a part of a response that counts as complete because a reset of the connection
// looks like its end.
SCENARIO("A connection tells a reset from the end of its peer's bytes") {
  EventLoop loop;
  Client client(loop);
  // Below, at and above the size of the read buffer; libuv treats a read that fills it differently.
  const std::string bytes(GENERATE(1, 16384, 20000, 32768), 'x');
  CAPTURE(bytes.size());

  GIVEN("a peer that closes its sending side") {
    client.Peer().Send(bytes);
    client.Peer().FinishSending();
    THEN("the end is proper") { CHECK(client.RunUntilEnd() == TcpEnd::kClosedByPeer); }
    WHEN("this side was closed before") {
      client.Tcp().FinishWriting();
      THEN("the end is proper") { CHECK(client.RunUntilEnd() == TcpEnd::kClosedByPeer); }
    }
    WHEN("the peer resets the connection before the end is read") {
      client.Peer().Reset();
      THEN("the end is proper") { CHECK(client.RunUntilEnd() == TcpEnd::kClosedByPeer); }
    }
    CHECK(client.Received() == bytes);
  }
  GIVEN("a peer that resets the connection") {
    WHEN("nothing is written") {
      client.Peer().Send(bytes);
      client.Peer().Reset();
      THEN("the end is not proper") { CHECK(client.RunUntilEnd() == TcpEnd::kBroken); }
    }
    WHEN("this side was closed before") {
      client.Tcp().FinishWriting();
      client.Peer().Send(bytes);
      client.Peer().Reset();
      THEN("the end is not proper") { CHECK(client.RunUntilEnd() == TcpEnd::kBroken); }
    }
    // The failed write takes the error of the socket, so that the read after it reports no error.
    WHEN("a write fails before the bytes are read") {
      // Posted before the bytes are sent, so that the loop runs it before it reads them.
      loop.Post([&] { client.Tcp().Write("more"); });
      client.Peer().Send(bytes);
      client.Peer().Reset();
      THEN("the end is not proper") { CHECK(client.RunUntilEnd() == TcpEnd::kBroken); }
    }
  }
  GIVEN("a peer that closes without reading what it was sent") {
    client.Tcp().Write("unread");
    client.Peer().Send(bytes);
    client.Peer().Close();
    THEN("the end is not proper, since the kernel resets such a connection") {
      CHECK(client.RunUntilEnd() == TcpEnd::kBroken);
    }
  }
}

}  // namespace qh::net
