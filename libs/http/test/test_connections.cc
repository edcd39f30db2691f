#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/tcp_listener.h"
#include "quetzalhinge/net/timer.h"
#include "scripted_peer.h"

namespace qh::http {

using namespace std::chrono_literals;

namespace {

ClientRequest MakeRequest(const std::string& id = "") {
  ClientRequest request;
  request.request.method = "GET";
  request.request.path = "/a";
  request.timeout = 10s;
  if (!id.empty()) {
    request.matches_request = [id](const HttpResponse& response) {
      return FindHeader(response.headers, "x-id") == id;
    };
  }
  return request;
}

/** Starts a call and runs the loop until the call ends. */
HttpCallResult Call(net::EventLoop& loop, ClientConnection& connection,
                    const ClientRequest& request) {
  std::optional<HttpCallResult> result;
  connection.Start(request, [&](HttpCallResult value) { result = std::move(value); });
  RunUntil(loop, [&] { return result.has_value(); });
  return *result;
}

const std::string kMatching = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok";
const std::string kUnmatched = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold";

}  // namespace

SCENARIO("A client connection does not match a response to the wrong request") {
  net::EventLoop loop;

  GIVEN("a worker that responds correctly") {
    ScriptedPeer worker(loop, kMatching, false);
    ClientConnection connection(loop, worker.Endpoint(), {});
    const auto result = Call(loop, connection, MakeRequest("own"));
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).body == "ok");
    THEN("the connection can be reused") {
      CHECK(connection.IsIdle());
      CHECK(std::holds_alternative<HttpResponse>(Call(loop, connection, MakeRequest("own"))));
    }
    THEN("unsolicited bytes make it unusable") {
      worker.Send(kUnmatched);
      RunUntil(loop, [&] { return connection.IsUnusable(); });
    }
  }
  GIVEN("a worker that sends an extra response after the matching one") {
    ScriptedPeer worker(loop, kMatching + kUnmatched, false);
    ClientConnection connection(loop, worker.Endpoint(), {});
    const auto result = Call(loop, connection, MakeRequest("own"));
    THEN("the matching one is returned and the connection is not reused") {
      CHECK(std::get<HttpResponse>(result).body == "ok");
      CHECK(connection.IsUnusable());
    }
  }
  GIVEN("a worker that sends a late response before the matching one") {
    ScriptedPeer worker(loop, kUnmatched + kMatching, false);
    ClientConnection connection(loop, worker.Endpoint(), {});
    const auto result = Call(loop, connection, MakeRequest("own"));
    THEN("it is discarded and the matching one is returned") {
      REQUIRE(std::holds_alternative<HttpResponse>(result));
      CHECK(std::get<HttpResponse>(result).body == "ok");
      CHECK(connection.IsUnusable());
    }
  }
  GIVEN("a worker that closes the connection within its response") {
    ScriptedPeer worker(loop, "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 9\r\n\r\nok", true);
    ClientConnection connection(loop, worker.Endpoint(), {});
    const auto result = Call(loop, connection, MakeRequest("own"));
    THEN("the call fails") {
      REQUIRE(std::holds_alternative<HttpCallFailure>(result));
      CHECK(std::get<HttpCallFailure>(result).stage == CallStage::kResponseStarted);
      CHECK(std::get<HttpCallFailure>(result).closed_by_peer);
    }
  }
  GIVEN("a worker whose response body ends with the connection") {
    ScriptedPeer worker(loop, "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nok", true);
    ClientConnection connection(loop, worker.Endpoint(), {});
    const auto result = Call(loop, connection, MakeRequest("own"));
    THEN("the response is marked, because truncation cannot be detected") {
      REQUIRE(std::holds_alternative<HttpResponse>(result));
      CHECK(std::get<HttpResponse>(result).ends_with_connection);
    }
  }
  GIVEN("a port without a listener") {
    IpEndpoint closed_port;
    {
      net::TcpListener listener(loop, [](uv_stream_s*) {});
      REQUIRE(IsOk(listener.Listen({"127.0.0.1", 0})));
      closed_port = listener.LocalEndpoint();
    }
    loop.RunOnce(1ms);
    ClientConnection connection(loop, closed_port, {});
    const auto result = Call(loop, connection, MakeRequest());
    THEN("no byte was sent") {
      CHECK(std::get<HttpCallFailure>(result).stage == CallStage::kNotConnected);
    }
  }
  GIVEN("a call that is cancelled") {
    ScriptedPeer worker(loop, "", false);
    auto connection =
        std::make_unique<ClientConnection>(loop, worker.Endpoint(), ClientConnectionOptions{});
    bool called = false;
    connection->Start(MakeRequest(), [&](const HttpCallResult&) { called = true; });
    RunUntil(loop, [&] { return !worker.Received().empty(); });
    connection.reset();
    THEN("the worker sees the connection close and the callback does not run") {
      RunUntil(loop, [&] { return worker.PeerDisconnected(); });
      CHECK_FALSE(called);
    }
  }
}

// Guards against a call that waits for its time-out after its response was rejected in favour of
// others.
SCENARIO("A call fails when the memory for its response is needed for others") {
  net::EventLoop loop;
  ClientConnectionOptions options;
  options.limits.memory_budget = std::make_shared<MemoryBudget>(100'000);
  ScriptedPeer endless(loop, "HTTP/1.1 200 OK\r\n\r\n" + std::string(90'000, 'x'), false);
  ScriptedPeer sound(
      loop, "HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n" + std::string(20'000, 'y'), false);
  ClientRequest request;
  request.request = {"GET", "/", {}, ""};
  request.timeout = 60s;
  ClientConnection first(loop, endless.Endpoint(), options);
  ClientConnection second(loop, sound.Endpoint(), options);
  std::optional<HttpCallResult> first_result;
  std::optional<HttpCallResult> second_result;
  first.Start(request, [&](HttpCallResult result) { first_result = std::move(result); });
  RunUntil(loop, [&] { return options.limits.memory_budget->Reserved() >= 90'000; });
  second.Start(request, [&](HttpCallResult result) { second_result = std::move(result); });
  RunUntil(loop, [&] { return first_result.has_value() && second_result.has_value(); });
  CHECK(std::holds_alternative<HttpResponse>(*second_result));
  REQUIRE(std::holds_alternative<HttpCallFailure>(*first_result));
  CHECK(std::get<HttpCallFailure>(*first_result).stage == CallStage::kResponseStarted);
  CHECK(std::get<HttpCallFailure>(*first_result).error.detail == "body_too_large");
  CHECK(first.IsUnusable());
}

SCENARIO("A server detects a disconnect while a request is in progress") {
  net::EventLoop loop;
  std::shared_ptr<ServerExchange> pending;
  bool peer_gone = false;
  int handled = 0;
  ConnectionServer server(loop, {}, [&](std::shared_ptr<ServerExchange> exchange) {
    ++handled;
    pending = std::move(exchange);
    pending->OnPeerGone([&] { peer_gone = true; });
  });
  REQUIRE(IsOk(server.Listen({"127.0.0.1", 0})));
  auto client =
      std::make_unique<ClientConnection>(loop, server.LocalEndpoint(), ClientConnectionOptions{});

  WHEN("the caller disconnects") {
    client->Start(MakeRequest(), [](const HttpCallResult&) {});
    RunUntil(loop, [&] { return handled == 1; });
    client.reset();
    THEN("the handler is notified, and a late response has no effect") {
      RunUntil(loop, [&] { return peer_gone; });
      pending->Respond({200, {}, "late", false});
      CHECK(server.InProgress() == 0);
    }
  }
  WHEN("the response has no length") {
    std::optional<HttpCallResult> result;
    client->Start(MakeRequest(), [&](HttpCallResult value) { result = std::move(value); });
    RunUntil(loop, [&] { return handled == 1; });
    pending->Respond({200, {}, "body", false, true});
    RunUntil(loop, [&] { return result.has_value(); });
    THEN("it is sent without content-length, and the connection closes") {
      const auto& response = std::get<HttpResponse>(*result);
      CHECK(response.body == "body");
      CHECK(response.ends_with_connection);
      CHECK_FALSE(FindHeader(response.headers, "content-length").has_value());
    }
  }
  WHEN("the server closes connections after responses") {
    server.CloseAfterResponses();
    std::optional<HttpCallResult> result;
    client->Start(MakeRequest(), [&](HttpCallResult value) { result = std::move(value); });
    RunUntil(loop, [&] { return handled == 1; });
    pending->Respond({200, {}, "last", false});
    RunUntil(loop, [&] { return result.has_value(); });
    THEN("the response is complete and has connection: close") {
      CHECK(std::get<HttpResponse>(*result).body == "last");
      CHECK(FindHeader(std::get<HttpResponse>(*result).headers, "connection") == "close");
    }
  }
  WHEN("a handler destroys an exchange without a response") {
    std::optional<HttpCallResult> result;
    client->Start(MakeRequest(), [&](HttpCallResult value) { result = std::move(value); });
    RunUntil(loop, [&] { return handled == 1; });
    pending.reset();
    RunUntil(loop, [&] { return result.has_value(); });
    THEN("the caller gets 500") { CHECK(std::get<HttpResponse>(*result).status == 500); }
  }
}

// Guards against a process that has no descriptor left for ordinary callers.
SCENARIO("New connections replace those that wait longest without a request") {
  net::EventLoop loop;
  std::vector<std::shared_ptr<ServerExchange>> pending;
  bool responds = true;
  ConnectionLimits limits;
  limits.max_connections = 4;
  ConnectionServer server(loop, limits, [&](std::shared_ptr<ServerExchange> exchange) {
    if (responds) {
      exchange->Respond({200, {}, "", false});
    } else {
      pending.push_back(std::move(exchange));
    }
  });
  REQUIRE(IsOk(server.Listen({"127.0.0.1", 0})));
  std::vector<std::unique_ptr<ClientConnection>> clients;
  const auto connect = [&] {
    const std::size_t accepted =
        server.OpenConnections() + server.Closed().replaced + server.Closed().not_accepted;
    clients.push_back(std::make_unique<ClientConnection>(loop, server.LocalEndpoint(),
                                                         ClientConnectionOptions{}));
    RunUntil(loop, [&] {
      return server.OpenConnections() + server.Closed().replaced + server.Closed().not_accepted >
             accepted;
    });
  };
  const auto is_closed = [&](std::size_t client) { return clients[client]->IsUnusable(); };

  WHEN("none has a request in progress") {
    connect();
    REQUIRE(std::holds_alternative<HttpResponse>(Call(loop, *clients[0], MakeRequest())));
    for (int i = 0; i < 4; ++i) {
      connect();
    }
    THEN("the oldest one that has never sent a request is closed") {
      RunUntil(loop, [&] { return is_closed(1); });
      CHECK(server.OpenConnections() == 4);
      CHECK(server.Closed().replaced == 1);
      for (const std::size_t open : {0, 2, 3, 4}) {
        CHECK(std::holds_alternative<HttpResponse>(Call(loop, *clients[open], MakeRequest())));
      }
    }
  }
  WHEN("all have a request in progress") {
    responds = false;
    for (std::size_t i = 0; i < 4; ++i) {
      connect();
      clients[i]->Start(MakeRequest(), [](const HttpCallResult&) {});
      RunUntil(loop, [&] { return pending.size() == i + 1; });
    }
    connect();
    THEN("the new one is closed and their requests go on") {
      RunUntil(loop, [&] { return is_closed(4); });
      CHECK(server.Closed().not_accepted == 1);
      CHECK(server.Closed().replaced == 0);
      for (const auto& exchange : pending) {
        CHECK(exchange->IsConnected());
      }
    }
  }
}

namespace {

/** A client that sends one request and reads the response slowly, or not at all. */
class SlowReader : public net::TcpObserver {
 public:
  SlowReader(net::EventLoop& loop, const IpEndpoint& server, bool reads)
      : m_tcp(loop, server, *this), m_resume(loop, [this] { m_tcp.SetReading(true); }) {
    m_tcp.SetReading(reads);
    m_tcp.Write("GET /a HTTP/1.1\r\nhost: a\r\n\r\n");
  }
  void OnBytes(std::string_view bytes) override {
    m_received += bytes.size();
    m_tcp.SetReading(false);
    m_resume.StartOnce(6ms);
  }
  void OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) override { m_ended = true; }
  std::size_t Received() const { return m_received; }
  bool HasEnded() const { return m_ended; }

 private:
  std::size_t m_received = 0;
  bool m_ended = false;
  net::TcpConnection m_tcp;
  net::Timer m_resume;
};

}  // namespace

// Guards against a response that is cut while its peer still reads it.
SCENARIO("The idle time-out runs while a response makes no progress") {
  constexpr std::size_t kResponseBytes = 10'000'000;
  net::EventLoop loop;
  ConnectionLimits limits;
  limits.idle_timeout = 300ms;
  ConnectionServer server(loop, limits, [&](const std::shared_ptr<ServerExchange>& exchange) {
    exchange->Respond({200, {}, std::string(kResponseBytes, 'x'), false});
  });
  REQUIRE(IsOk(server.Listen({"127.0.0.1", 0})));
  WHEN("the peer reads slowly") {
    const SlowReader reader(loop, server.LocalEndpoint(), true);
    RunUntil(loop, [&] { return reader.Received() > kResponseBytes || reader.HasEnded(); });
    THEN("it gets the whole response") { CHECK(reader.Received() > kResponseBytes); }
  }
  WHEN("the peer does not read") {
    const SlowReader reader(loop, server.LocalEndpoint(), false);
    RunUntil(loop, [&] { return server.OpenConnections() == 1; });
    THEN("the connection is closed") {
      RunUntil(loop, [&] { return server.OpenConnections() == 0; });
    }
  }
}

}  // namespace qh::http
