#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/call_service.h"
#include "quetzalhinge/net/tcp_connection.h"
#include "quetzalhinge/net/tcp_listener.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {

constexpr std::size_t kMessageMemory = 32 * 1024 * 1024;

using namespace std::chrono_literals;

inline CallHeaders Names() {
  return {"x-id",     "x-left", "x-signature", "x-expect",
          "x-worker", "x-load", "x-not-run",   "x-limit"};
}

/** Reads loads of the form "<running>,<waiting>,<slots>,<percent>". */
class TestDecoder : public RecordDecoder {
 public:
  Result<routes::ServiceConfiguration> DecodeConfiguration(
      const std::string& /*bytes*/) const override {
    return Error{};
  }
  Result<dispatch::WorkerRecord> DecodeWorker(const std::string& /*id*/,
                                              const std::string& /*bytes*/) const override {
    return Error{};
  }
  std::optional<dispatch::LoadReport> DecodeLoad(std::string_view value) const override {
    dispatch::LoadReport report;
    int percent = 100;
    if (std::sscanf(std::string(value).c_str(), "%d,%d,%d,%d", &report.running, &report.waiting,
                    &report.slots, &percent) != 4) {
      return std::nullopt;
    }
    report.slowdown = percent / 100.0;
    return report;
  }
  std::optional<double> DecodeLimit(std::string_view value) const override {
    return std::stod(std::string(value));
  }
};

/** How a worker handles requests. */
enum class Behaviour {
  kServe,
  kFail,
  kShed,
  kShedWithoutHeader,
  /** Sends a body without end. */
  kEndlessBody,
  /** Sends a response with status 000, then one with status 200 on the same connection. */
  kStatusZero,
  /** Sends a response with a blank after the name of the field that gives the length. */
  kBlankInName,
  /**
   * Sends a part of a response without a length and resets the connection, both before it has read
   * the body of the request.
   */
  kResetDuringUpload,
  /** Sends a refusal of an earlier probe once more, then serves the request. */
  kRepeatOldRefusal,
  kCloseConnection,
  kNeverRespond,
  kCrash
};

/** A worker with its own listening socket. */
class TestWorker : public net::TcpObserver {
 public:
  TestWorker(net::EventLoop& loop, std::string id)
      : m_id(std::move(id)),
        m_listener(std::make_unique<net::TcpListener>(loop, [this, &loop](uv_stream_s* stream) {
          m_connections.push_back(std::make_unique<Connection>(*this, loop, stream));
        })) {
    REQUIRE(IsOk(m_listener->Listen({"127.0.0.1", 0})));
    m_endpoint = m_listener->LocalEndpoint();
  }

  dispatch::WorkerRecord Record() const {
    dispatch::WorkerRecord record;
    record.id = m_id;
    record.service = "katalog";
    record.address = m_endpoint;
    record.zone = "here";
    record.slots = 6;
    record.sequence = 1;
    return record;
  }

  Behaviour behaviour = Behaviour::kServe;
  std::string load = "0,0,6,100";
  /** Value of the limit header; empty if the worker states none. */
  std::string limit;
  /** Requests that the worker has started to execute, without probes. */
  std::vector<http::HttpRequest> executed;
  int closed_connections = 0;
  bool responds_to_probes = true;
  int probes = 0;

  /** Closes all connections, as if the responses in progress were lost. */
  void BreakConnections() {
    for (const auto& open : m_connections) {
      open->tcp.reset();
    }
  }

  void OnBytes(std::string_view /*bytes*/) override {}
  void OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) override {}

 private:
  struct Connection : net::TcpObserver {
    TestWorker& worker;
    http::MessageReader reader{http::MessageKind::kRequest, {}};
    std::unique_ptr<net::TcpConnection> tcp;

    Connection(TestWorker& owner, net::EventLoop& loop, uv_stream_s* stream)
        : worker(owner), tcp(std::make_unique<net::TcpConnection>(loop, stream, *this)) {}

    void OnBytes(std::string_view bytes) override {
      reader.Read(bytes);
      if (worker.behaviour == Behaviour::kResetDuringUpload && reader.IsHeadComplete() &&
          !reader.IsComplete()) {
        worker.executed.push_back(reader.Request());
        const std::string id(http::FindHeader(reader.Request().headers, "x-id").value_or(""));
        tcp->Write("HTTP/1.1 200 x\r\nx-signature: s\r\nx-id: " + id + "\r\n\r\n" +
                   std::string(20'000, 'x'));
        // The kernel resets the connection, because the rest of the body is unread.
        tcp.reset();
        return;
      }
      if (reader.IsComplete()) {
        const http::HttpRequest request = reader.Request();
        reader.Restart();
        worker.Handle(*this, request);
      }
    }
    void OnEnd(net::TcpEnd /*end*/, const Error& /*error*/) override {
      ++worker.closed_connections;
      tcp.reset();
    }
    void Send(int status, const std::string& id, const std::string& extra,
              const std::string& body) {
      tcp->Write("HTTP/1.1 " + std::to_string(status) + " x\r\nx-worker: " + worker.m_id +
                 "\r\nx-load: " + worker.load + "\r\nx-id: " + id + "\r\n" +
                 (worker.limit.empty() ? "" : "x-limit: " + worker.limit + "\r\n") + extra +
                 "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  };

  void Handle(Connection& connection, const http::HttpRequest& request) {
    if (request.path == "/health") {
      ++probes;
      if (!responds_to_probes) {
        return;
      }
      connection.Send(200, "", "", "");
      return;
    }
    const std::string id(http::FindHeader(request.headers, "x-id").value_or(""));
    if (behaviour == Behaviour::kShed) {
      connection.Send(503, id, "x-not-run: 1\r\n", "");
      return;
    }
    executed.push_back(request);
    switch (behaviour) {
      case Behaviour::kServe:
        connection.Send(200, id, "x-signature: s\r\n", "from " + m_id);
        break;
      case Behaviour::kFail:
        connection.Send(500, id, "x-signature: s\r\n", "failed");
        break;
      case Behaviour::kEndlessBody:
        connection.tcp->Write("HTTP/1.1 200 x\r\nx-signature: s\r\nx-id: " + id + "\r\n\r\n");
        for (int i = 0; i < 40; ++i) {
          connection.tcp->Write(std::string(1'000'000, 'x'));
        }
        break;
      case Behaviour::kStatusZero:
        connection.tcp->Write("HTTP/1.1 000 x\r\nx-signature: s\r\nx-id: " + id +
                              "\r\ncontent-length: 2\r\n\r\nok");
        connection.Send(200, id, "x-signature: s\r\n", "late");
        break;
      case Behaviour::kBlankInName:
        connection.tcp->Write("HTTP/1.1 200 x\r\nx-signature: s\r\nx-id: " + id +
                              "\r\ncontent-length : 2\r\n\r\nwhole");
        break;
      case Behaviour::kRepeatOldRefusal:
        connection.tcp->Write("HTTP/1.1 503 x\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        connection.Send(200, id, "x-signature: s\r\n", "from " + m_id);
        break;
      case Behaviour::kShedWithoutHeader:
        connection.Send(503, id, "", "");
        break;
      case Behaviour::kCloseConnection:
        connection.tcp.reset();
        break;
      case Behaviour::kCrash:
        m_listener.reset();
        for (const auto& open : m_connections) {
          open->tcp.reset();
        }
        break;
      case Behaviour::kShed:
      case Behaviour::kResetDuringUpload:
      case Behaviour::kNeverRespond:
        break;
    }
  }

  std::string m_id;
  std::unique_ptr<net::TcpListener> m_listener;
  IpEndpoint m_endpoint;
  std::vector<std::unique_ptr<Connection>> m_connections;
};

/** The request path of a gateway with two workers and one caller. */
struct Fixture {
  net::EventLoop loop;
  RandomGenerator random{20261204};
  metrics::MetricsRegistry metrics;
  CallHeaders headers = Names();
  TestDecoder decoder;
  routes::RouteTable routes;
  dispatch::WorkerRegistry registry;
  dispatch::WorkerPicker picker;
  WorkerLinks worker_links{loop,
                           metrics,
                           headers,
                           decoder,
                           registry,
                           routes,
                           std::make_shared<http::MemoryBudget>(kMessageMemory)};
  std::vector<membership::Notice> notices;
  CrashWatch crash_watch{loop, worker_links,
                         [this](const membership::Notice& notice) { notices.push_back(notice); }};
  RetryBudgets budgets{{1.0, 1000}, "vm-1"};
  CallContext context{"here",   loop,   random,       metrics,     headers, routes,
                      registry, picker, worker_links, crash_watch, budgets};
  CallService service{context};
  http::ConnectionServer server{
      loop, {}, [this](auto exchange) { service.Handle(std::move(exchange)); }};
  TestWorker first{loop, "w-1"};
  TestWorker second{loop, "w-2"};
  std::unique_ptr<http::ClientConnection> caller;
  /** Body of the requests. */
  std::string body = "body";

  Fixture() {
    REQUIRE(IsOk(server.Listen({"127.0.0.1", 0})));
    NewCaller();
  }

  void NewCaller() {
    caller = std::make_unique<http::ClientConnection>(loop, server.LocalEndpoint(),
                                                      http::ClientConnectionOptions{});
  }

  void Configure(routes::RouteKind kind, std::chrono::milliseconds timeout = 20s,
                 std::chrono::milliseconds target_latency = 10s) {
    routes::ServiceConfiguration configuration;
    configuration.version = 1;
    configuration.services = {{"katalog", "/health", 220}};
    routes::Route route;
    route.name = "r";
    route.host = "shop.example";
    route.prefix = "/a/";
    route.kind = kind;
    route.timeout = timeout;
    route.target_latency = target_latency;
    route.max_attempts = 2;
    route.targets = {{"katalog", 1}};
    configuration.routes = {route};
    REQUIRE(routes.Apply(configuration));
    // Retry budgets start empty; these requests earn the retries that the tests need.
    for (int i = 0; i < 4; ++i) {
      budgets.OnFirstAttempt("katalog");
    }
    registry.Apply({{"w-1", first.Record()}, {"w-2", second.Record()}}, loop.Now());
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint limit = loop.Now() + 30s;
    while (!done() && loop.Now() < limit) {
      loop.RunOnce(10ms);
    }
    REQUIRE(done());
  }

  http::ClientRequest Request(const std::string& path = "/a/b?c=d") const {
    http::ClientRequest request;
    request.request = {
        "POST", path, {{"x-id", "id-1"}, {"x-left", "15000"}, {"x-other", "y"}}, body};
    request.host = "shop.example";
    request.timeout = 25s;
    return request;
  }

  http::HttpResponse Call(const std::string& path = "/a/b?c=d") {
    std::optional<http::HttpCallResult> result;
    caller->Start(Request(path), [&](http::HttpCallResult value) { result = std::move(value); });
    RunUntil([&] { return result.has_value(); });
    REQUIRE(std::holds_alternative<http::HttpResponse>(*result));
    return std::get<http::HttpResponse>(*result);
  }

  void SetBehaviour(Behaviour behaviour) {
    first.behaviour = behaviour;
    second.behaviour = behaviour;
  }

  std::size_t ExecutedCount() const { return first.executed.size() + second.executed.size(); }
};

}  // namespace qh::gateway
