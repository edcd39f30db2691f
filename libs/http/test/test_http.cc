#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "../src/framing_check.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/net/timer.h"

namespace qh::http {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Ambiguous lengths of a request body are detected") {
  struct Case {
    const char* head;
    Framing framing;
  };
  const std::vector<Case> cases{
      {"POST / HTTP/1.1\r\nContent-Length: 3", Framing::kUnambiguous},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked", Framing::kUnambiguous},
      {"GET / HTTP/1.1\r\nHost: x", Framing::kUnambiguous},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\ncontent-length: 3", Framing::kAmbiguous},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked", Framing::kAmbiguous},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked", Framing::kAmbiguous},
      {"POST / HTTP/1.1\r\nContent-Length : 3\r\nContent-Length: 4", Framing::kAmbiguous},
      {"POST / HTTP/1.1\r\nContent-Length: +3", Framing::kAmbiguous},
      {"POST / HTTP/1.1\r\nContent-Length: 3, 3", Framing::kAmbiguous},
  };
  for (const Case& row : cases) {
    CAPTURE(row.head);
    CHECK(CheckFraming(row.head) == row.framing);
  }
}

TEST_CASE("Hop-by-hop fields and the fields that connection lists are removed") {
  const HttpHeaders end_to_end = WithoutHopByHop({{"connection", "close, X-Secret"},
                                                  {"x-secret", "1"},
                                                  {"keep-alive", "5"},
                                                  {"transfer-encoding", "chunked"},
                                                  {"content-type", "text/plain"}});
  REQUIRE(end_to_end.size() == 1);
  CHECK(end_to_end.front().name == "content-type");
}

TEST_CASE("Query parameters are decoded") {
  CHECK(QueryParameter("/v1/addresses?service=kat%20alog&customer=a", "service") == "kat alog");
  CHECK(QueryParameter("/v1?x=1", "y") == std::nullopt);
  CHECK(QueryParameter("/v1?q=" + PercentEncode("a&b=c%"), "q") == "a&b=c%");
}

/** A server, whose handler each test case sets, and a client connected to it. */
struct ServerAndClient {
  net::EventLoop loop;
  HttpServer::Handler handler;
  HttpServer server;
  std::unique_ptr<HttpClient> client;

  ServerAndClient()
      : server(loop, HttpServerOptions{{"127.0.0.1", 0}, 1024, milliseconds(10000)},
               [this](std::shared_ptr<HttpExchange> exchange) { handler(std::move(exchange)); }) {
    REQUIRE(IsOk(server.Start()));
    HttpClientOptions options;
    options.max_response_bytes = 100000;
    client = std::make_unique<HttpClient>(loop, server.LocalEndpoint(), options);
  }

  HttpCallResult Call(const HttpRequest& request, milliseconds timeout = milliseconds(20000)) {
    HttpCallResult outcome;
    client->Start(request, timeout, [&](HttpCallResult result) {
      outcome = std::move(result);
      loop.Stop();
    });
    loop.Run();
    return outcome;
  }
};

TEST_CASE("A client may be destroyed while its loop is running") {
  // Guards against freeing the timers of h2o before libuv has closed them.
  ServerAndClient pair;
  pair.handler = [](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Respond({200, {}, "x", false});
  };
  for (int i = 0; i < 20; ++i) {
    pair.Call({"GET", "/", {}, ""});
    pair.client->DiscardIdleConnections();
    pair.client =
        std::make_unique<HttpClient>(pair.loop, pair.server.LocalEndpoint(), HttpClientOptions{});
    pair.loop.RunOnce(milliseconds(1));
  }
  CHECK(std::holds_alternative<HttpResponse>(pair.Call({"GET", "/", {}, ""})));
}

TEST_CASE("A client and a server exchange complete messages") {
  ServerAndClient pair;

  SECTION("bodies and fields arrive in both directions over one connection") {
    pair.handler = [](const std::shared_ptr<HttpExchange>& exchange) {
      const HttpRequest& request = exchange->Request();
      exchange->Respond({201,
                         {{"x-echo", std::string(*FindHeader(request.headers, "x-in"))}},
                         request.method + request.path + std::string(request.body),
                         false});
    };
    for (int i = 0; i < 3; ++i) {
      const auto result = pair.Call({"POST", "/a?b=1", {{"x-in", "v"}}, "body"});
      REQUIRE(std::holds_alternative<HttpResponse>(result));
      const auto& response = std::get<HttpResponse>(result);
      CHECK(response.status == 201);
      CHECK(response.body == "POST/a?b=1body");
      CHECK(FindHeader(response.headers, "x-echo") == "v");
    }
    CHECK(pair.server.OpenConnections() == 1);
    CHECK(pair.server.InProgress() == 0);

    SECTION("discarded connections are not reused") {
      pair.client->DiscardIdleConnections();
      pair.Call({"GET", "/", {{"x-in", "v"}}, ""});
      pair.loop.RunOnce(milliseconds(50));
      CHECK(pair.server.OpenConnections() == 1);
    }
  }
  SECTION("a body above the limit is rejected before the handler runs") {
    bool handled = false;
    pair.handler = [&](const std::shared_ptr<HttpExchange>&) { handled = true; };
    const auto result = pair.Call({"POST", "/", {}, std::string(2000, 'x')});
    CHECK_FALSE(handled);
    if (const auto* response = std::get_if<HttpResponse>(&result)) {
      CHECK(response->status == 413);
    }
  }
  SECTION("a response above the limit fails the call and is not returned in part") {
    pair.handler = [](const std::shared_ptr<HttpExchange>& exchange) {
      exchange->Respond({200, {}, std::string(200000, 'x'), false});
    };
    const auto result = pair.Call({"GET", "/", {}, ""});
    REQUIRE(std::holds_alternative<HttpCallFailure>(result));
    CHECK(std::get<HttpCallFailure>(result).stage == CallStage::kResponseStarted);
  }
  SECTION("a call without a response fails at its time-out, and a late response has no effect") {
    std::shared_ptr<HttpExchange> pending;
    pair.handler = [&](std::shared_ptr<HttpExchange> exchange) { pending = std::move(exchange); };
    const auto result = pair.Call({"GET", "/", {}, ""}, milliseconds(30));
    REQUIRE(std::holds_alternative<HttpCallFailure>(result));
    CHECK(std::get<HttpCallFailure>(result).stage == CallStage::kSent);
    CHECK(std::get<HttpCallFailure>(result).error.code == ErrorCode::kTimeout);
    REQUIRE(pending != nullptr);
    pending->Respond({200, {}, "late", false});
    pending.reset();
    pair.loop.RunOnce(milliseconds(50));
  }
  SECTION("a cancelled call does not run its callback") {
    pair.handler = [&](const std::shared_ptr<HttpExchange>& exchange) {
      exchange->Respond({200, {}, "x", false});
    };
    bool called = false;
    auto call = pair.client->Start({"GET", "/", {}, ""}, milliseconds(5000),
                                   [&](const HttpCallResult&) { called = true; });
    call->Cancel();
    for (int i = 0; i < 5; ++i) {
      pair.loop.RunOnce(milliseconds(10));
    }
    CHECK_FALSE(called);
    CHECK(pair.client->InProgress() == 0);
  }
  SECTION("a call to a port without a listener fails before anything is sent") {
    pair.server.StopAccepting();
    pair.loop.RunOnce(milliseconds(10));
    const auto result = pair.Call({"GET", "/", {}, ""});
    REQUIRE(std::holds_alternative<HttpCallFailure>(result));
    CHECK(std::get<HttpCallFailure>(result).stage == CallStage::kNotConnected);
  }
}

}  // namespace
}  // namespace qh::http
