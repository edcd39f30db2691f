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

using namespace std::chrono_literals;

namespace {

CallHeaders Names() {
  return {"x-id", "x-left", "x-signature", "x-expect", "x-worker", "x-load", "x-not-run"};
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
  std::optional<double> DecodeLimit(std::string_view /*value*/) const override {
    return std::nullopt;
  }
};

/** How a worker handles requests. */
enum class Behaviour {
  kServe,
  kFail,
  kShed,
  kShedWithoutHeader,
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
                 "\r\nx-load: " + worker.load + "\r\nx-id: " + id + "\r\n" + extra +
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
  WorkerLinks worker_links{loop, metrics, headers, decoder, registry, routes};
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
        "POST", path, {{"x-id", "id-1"}, {"x-left", "15000"}, {"x-other", "y"}}, "body"};
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

}  // namespace

SCENARIO("The gateway forwards requests and responses unchanged") {
  Fixture fixture;
  GIVEN("no configuration yet") {
    const http::HttpResponse response = fixture.Call();
    THEN("the caller is told to retry, as the route may exist") {
      CHECK(response.status == 503);
      CHECK(http::FindHeader(response.headers, "retry-after").has_value());
    }
  }
  GIVEN("a configuration") {
    fixture.Configure(routes::RouteKind::kSafe);
    WHEN("a worker succeeds") {
      const http::HttpResponse response = fixture.Call();
      CHECK(response.status == 200);
      CHECK(http::FindHeader(response.headers, "x-signature") == "s");
      CHECK_FALSE(http::FindHeader(response.headers, "x-load").has_value());
      REQUIRE(fixture.ExecutedCount() == 1);
      const auto& executed =
          fixture.first.executed.empty() ? fixture.second.executed[0] : fixture.first.executed[0];
      THEN("it received method, path, body and headers, with remaining time and expected worker") {
        CHECK(executed.method == "POST");
        CHECK(executed.path == "/a/b?c=d");
        CHECK(executed.body == "body");
        CHECK(http::FindHeader(executed.headers, "host") == "shop.example");
        CHECK(http::FindHeader(executed.headers, "x-other") == "y");
        CHECK(http::CountHeaders(executed.headers, "x-left") == 1);
        const std::string left(*http::FindHeader(executed.headers, "x-left"));
        CHECK(std::stoi(left) <= 15000);
        CHECK(http::FindHeader(executed.headers, "x-expect").has_value());
      }
    }
    WHEN("no route matches") {
      THEN("the status is 404") { CHECK(fixture.Call("/b/").status == 404); }
    }
    WHEN("the machine of one worker is slow") {
      fixture.first.load = "0,0,6,700";
      for (int i = 0; i < 8; ++i) {
        CHECK(fixture.Call().body == "from w-2");
      }
      THEN("it receives no requests") { CHECK(fixture.first.executed.empty()); }
    }
    WHEN("one worker is full") {
      fixture.second.load = "6,3,6,100";
      for (int i = 0; i < 8; ++i) {
        CHECK(fixture.Call().body == "from w-1");
      }
    }
    WHEN("the process is shutting down") {
      fixture.service.RefuseNewCalls();
      THEN("new requests are refused and do not run") {
        CHECK(fixture.Call().status == 503);
        CHECK(fixture.ExecutedCount() == 0);
      }
    }
  }
}

SCENARIO("A request that is not safe to retry runs at most once") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kUnsafe);
  WHEN("the response is lost") {
    fixture.SetBehaviour(Behaviour::kCloseConnection);
    const http::HttpResponse response = fixture.Call();
    THEN("it is not retried, and the status does not guarantee that it has not run") {
      CHECK(response.status == 502);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  WHEN("a worker reports that it did not run the request") {
    fixture.first.behaviour = Behaviour::kShed;
    THEN("the other worker receives it") {
      for (int i = 0; i < 4; ++i) {
        CHECK(fixture.Call().status == 200);
      }
    }
  }
  WHEN("all workers report that they did not run the request") {
    fixture.SetBehaviour(Behaviour::kShed);
    const http::HttpResponse response = fixture.Call();
    THEN("the caller is refused with a retry-after header") {
      CHECK(response.status == 503);
      CHECK(http::FindHeader(response.headers, "retry-after").has_value());
      CHECK(fixture.ExecutedCount() == 0);
    }
  }
  WHEN("a worker sends a 503 without the header that the request did not run") {
    fixture.SetBehaviour(Behaviour::kShedWithoutHeader);
    const http::HttpResponse response = fixture.Call();
    THEN("the status does not guarantee that it has not run") {
      CHECK(response.status == 502);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  WHEN("a worker sends a failure response") {
    fixture.SetBehaviour(Behaviour::kFail);
    const http::HttpResponse response = fixture.Call();
    THEN("the response is forwarded unchanged") {
      CHECK(response.status == 500);
      CHECK(response.body == "failed");
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
}

SCENARIO("A safe request is retried") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe);
  WHEN("one worker closes its connections without a response") {
    fixture.first.behaviour = Behaviour::kCloseConnection;
    THEN("the other worker serves the request") {
      for (int i = 0; i < 6; ++i) {
        CHECK(fixture.Call().status == 200);
      }
    }
  }
  WHEN("both workers fail") {
    fixture.SetBehaviour(Behaviour::kFail);
    const http::HttpResponse response = fixture.Call();
    THEN("there are no more attempts than the route allows") {
      CHECK(response.status == 500);
      CHECK(fixture.ExecutedCount() == 2);
    }
  }
}

// Guards against a call that hangs until its deadline: the first attempt fails while a worker for
// the hedged request is picked, and no worker is found.
SCENARIO("A first attempt that fails while a hedged request is prepared is handled") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe, 20s, 400ms);
  fixture.first.behaviour = Behaviour::kNeverRespond;
  fixture.second.load = "6,3,6,100";
  std::optional<http::HttpCallResult> result;
  fixture.caller->Start(fixture.Request(),
                        [&](http::HttpCallResult value) { result = std::move(value); });
  fixture.RunUntil([&] { return fixture.first.executed.size() == 1; });
  // The second worker does not respond to the probe for the hedged request.
  fixture.second.responds_to_probes = false;
  const int probes = fixture.second.probes;
  const TimePoint sent_at = fixture.loop.Now();
  fixture.RunUntil([&] { return fixture.second.probes > probes; });
  fixture.first.BreakConnections();
  fixture.RunUntil([&] { return result.has_value(); });
  REQUIRE(std::holds_alternative<http::HttpResponse>(*result));
  // Half of the caller's deadline: the call did not wait until then.
  CHECK(fixture.loop.Now() - sent_at < 7500ms);
}

SCENARIO("Work is cancelled if the caller disconnects or the deadline passes") {
  Fixture fixture;
  WHEN("the caller disconnects") {
    fixture.Configure(routes::RouteKind::kSafe);
    fixture.SetBehaviour(Behaviour::kNeverRespond);
    fixture.caller->Start(fixture.Request(), [](const http::HttpCallResult&) {});
    fixture.RunUntil([&] { return fixture.ExecutedCount() == 1; });
    fixture.caller.reset();
    THEN("the connection to the worker is closed") {
      fixture.RunUntil(
          [&] { return fixture.first.closed_connections + fixture.second.closed_connections > 0; });
      CHECK(fixture.server.InProgress() == 0);
    }
  }
  WHEN("the time-out of the route passes") {
    fixture.Configure(routes::RouteKind::kUnsafe, 300ms);
    fixture.SetBehaviour(Behaviour::kNeverRespond);
    const http::HttpResponse response = fixture.Call();
    THEN("the status is 504 and the connection to the worker is closed") {
      CHECK(response.status == 504);
      fixture.RunUntil(
          [&] { return fixture.first.closed_connections + fixture.second.closed_connections > 0; });
    }
  }
}

SCENARIO("A caller refused by workers with free slots is told to retry soon") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kUnsafe, 20s, 600ms);
  fixture.SetBehaviour(Behaviour::kShed);
  const http::HttpResponse response = fixture.Call();
  CHECK(response.status == 503);
  const auto wait = http::FindHeader(response.headers, "retry-after");
  REQUIRE(wait.has_value());
  CHECK(std::stod(std::string(*wait)) <= 0.06);
}

SCENARIO("A caller that is refused because all workers are full is told to wait for free slots") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe, 20s, 300ms);
  fixture.second.load = "6,3,6,100";
  for (int i = 0; i < 4; ++i) {
    REQUIRE(fixture.Call().body == "from w-1");
  }
  WHEN("the worker with free slots refuses the request because its slots are now in use") {
    fixture.first.behaviour = Behaviour::kShed;
    fixture.first.load = "6,3,6,100";
    const http::HttpResponse response = fixture.Call();
    CHECK(response.status == 503);
    const auto wait = http::FindHeader(response.headers, "retry-after");
    REQUIRE(wait.has_value());
    THEN("the retry-after time is long enough for slots to become free") {
      CHECK(std::stod(std::string(*wait)) >= 0.2);
    }
  }
}

SCENARIO("A request that crashes workers is quarantined") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe);
  fixture.SetBehaviour(Behaviour::kCrash);
  const http::HttpResponse first = fixture.Call();
  CHECK(first.status == 502);
  CHECK(fixture.ExecutedCount() == 2);
  fixture.RunUntil([&] {
    return std::any_of(fixture.notices.begin(), fixture.notices.end(), [](const auto& notice) {
      return notice.kind == membership::NoticeKind::kQuarantinedFingerprint;
    });
  });
  THEN("it is refused before it reaches a worker, and the other VMs are notified") {
    fixture.NewCaller();
    CHECK(fixture.Call().status == 503);
    CHECK(fixture.ExecutedCount() == 2);
  }
  THEN("another request is refused too, as no worker is left") {
    fixture.NewCaller();
    CHECK(fixture.Call("/a/other").status == 503);
    CHECK_FALSE(fixture.notices.empty());
  }
}

}  // namespace qh::gateway
