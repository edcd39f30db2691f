#include "quetzalhinge/standin/answer_check.h"
#include "quetzalhinge/standin/standin_worker_group.h"
#include "test_peer.h"

namespace qh::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

http::HttpRequest Work(const std::string& id, const std::string& body = "order") {
  return {"POST", "/orders?call=" + id, {{"x-qh-request-id", id}}, body};
}

/** A group of one worker with constant service times on two routes, and clients for it. */
struct WorkerAndCaller {
  net::EventLoop loop;
  StandinWorkerGroup group;
  TestPeer peer;
  TestPeer control;

  static StandinWorkerGroupOptions Options() {
    StandinWorkerOptions worker;
    worker.listen = {"127.0.0.1", 0};
    worker.slots = 2;
    worker.queue_length = 1;
    worker.routes = {{"/", 1, 0, 0, 0}, {"/long", 60000, 0, 0, 0}};
    return {{"127.0.0.1", 0}, {worker}};
  }

  WorkerAndCaller()
      : group(loop, Options()), peer(loop, StartAll()), control(loop, group.ControlEndpoint()) {}

  /** Starts the group and returns the address of the worker. */
  IpEndpoint StartAll() {
    REQUIRE(IsOk(group.Start()));
    return group.Workers().front()->LocalEndpoint();
  }

  std::shared_ptr<http::HttpCall> StartLong(const std::string& id) {
    return peer.Client().StartOnNewConnection({"GET", "/long", {{"x-qh-request-id", id}}, ""},
                                              std::chrono::minutes(2),
                                              [](const http::HttpCallResult&) {});
  }

  json State() { return json::parse(peer.Get("/standin/state").body.Bytes()); }

  http::HttpResponse Answer(const http::HttpRequest& request) {
    auto result = peer.Call(request);
    REQUIRE(std::holds_alternative<http::HttpResponse>(result));
    return std::get<http::HttpResponse>(result);
  }
};

TEST_CASE("A worker's response can be verified to match the request") {
  WorkerAndCaller pair;
  const auto response = pair.Answer(Work("id-1"));
  CHECK(response.status == 200);
  CHECK(http::FindHeader(response.headers, "x-qh-request-id") == "id-1");
  CHECK(http::FindHeader(response.headers, "x-qh-load") == "0/2");
  CHECK(ValueOf(CheckResponseBody(response.body, "call=id-1", "order")) == "id-1");
  CHECK_FALSE(IsOk(CheckResponseBody(response.body, "call=id-1", "other order")));
  CHECK_FALSE(IsOk(CheckResponseBody(response.body, "call=id-2", "order")));
  CHECK_FALSE(IsOk(CheckResponseBody(response.body.Bytes().substr(0, 99), "call=id-1", "order")));
}

TEST_CASE("Executions are counted by key or else request id, and summed over all workers") {
  WorkerAndCaller pair;
  http::HttpRequest keyed = Work("id-1");
  keyed.headers.push_back({"idempotency-key", "k"});
  pair.Answer(keyed);
  pair.Answer(keyed);
  pair.Answer(Work("id-2"));
  const json expected{{"executions", {{"k", 2}, {"id-2", 1}}}};
  CHECK(json::parse(pair.peer.Get("/standin/executions").body.Bytes()) == expected);
  CHECK(json::parse(pair.control.Get("/standin/executions").body.Bytes()) == expected);
}

TEST_CASE("A worker has a bounded number of slots and waiting requests") {
  WorkerAndCaller pair;
  const auto first = pair.StartLong("id-1");
  const auto second = pair.StartLong("id-2");
  const auto third = pair.StartLong("id-3");
  REQUIRE(RunUntil(pair.loop, [&] { return pair.State()["waiting"] == 1; }));
  CHECK(pair.State()["running"] == 2);

  SECTION("a further request is shed without being executed") {
    const auto response = pair.Answer(Work("id-4"));
    CHECK(response.status == 503);
    CHECK(http::FindHeader(response.headers, "x-qh-not-run") == "1");
    CHECK(pair.group.Workers().front()->Executions().count("id-4") == 0);
  }
  SECTION("closing the connection cancels a request and frees its slot for a waiting one") {
    first->Cancel();
    REQUIRE(RunUntil(pair.loop, [&] { return pair.State()["waiting"] == 0; }));
    CHECK(pair.State()["running"] == 2);
    CHECK(pair.State()["cancelled"] == 1);
  }
  first->Cancel();
  second->Cancel();
  third->Cancel();
}

TEST_CASE("A worker simulates the configured faults") {
  WorkerAndCaller pair;
  const auto fault = [&](const json& faults) {
    CHECK(pair.control.Post("/standin/faults", faults).status == 200);
  };

  SECTION("it fails requests immediately") {
    fault({{"fail_fast", true}});
    CHECK(pair.Answer(Work("id-1")).status == 500);
  }
  SECTION("draining is reported; requests are refused only with drain_refuses") {
    fault({{"drain", true}});
    const auto response = pair.Answer(Work("id-1"));
    CHECK(response.status == 200);
    CHECK(http::FindHeader(response.headers, "x-qh-draining") == "1");
    CHECK(pair.State()["last_start_after_drain_ms"] >= 0);
    CHECK(pair.peer.Get("/health").status == 503);
    fault({{"wrong_health", true}});
    CHECK(pair.peer.Get("/health").status == 200);
    fault({{"drain_refuses", true}});
    CHECK(pair.Answer(Work("id-2")).status == 503);
  }
  SECTION("a response truncated in mid-body is reported to the caller as a failure") {
    fault({{"cut_answers", 1}});
    const auto cut = pair.peer.Call(Work("id-1"));
    REQUIRE(std::holds_alternative<http::HttpCallFailure>(cut));
    CHECK(std::get<http::HttpCallFailure>(cut).stage == http::CallStage::kResponseStarted);
    CHECK(pair.Answer(Work("id-2")).status == 200);
  }
  SECTION("it stops responding") {
    fault({{"silent", true}});
    const auto silent = pair.peer.Call(Work("id-1"), milliseconds(50));
    REQUIRE(std::holds_alternative<http::HttpCallFailure>(silent));
    CHECK(std::get<http::HttpCallFailure>(silent).error.code == ErrorCode::kTimeout);
  }
  SECTION("a request with the crash marker aborts all calls in progress; the worker restarts") {
    fault({{"restart_after_ms", 100}});
    const auto other = pair.StartLong("id-1");
    REQUIRE(RunUntil(pair.loop, [&] { return pair.State()["running"] == 1; }));
    const auto crash = pair.peer.Call(Work("id-2", "a qh-crash-worker b"));
    REQUIRE(std::holds_alternative<http::HttpCallFailure>(crash));
    CHECK(std::get<http::HttpCallFailure>(crash).closed_by_peer);
    const auto refused = pair.peer.Call(Work("id-3"));
    CHECK(std::holds_alternative<http::HttpCallFailure>(refused));
    REQUIRE(RunUntil(pair.loop, [&] {
      return std::holds_alternative<http::HttpResponse>(pair.peer.Call(Work("id-4")));
    }));
    CHECK(pair.State()["running"] == 0);
    CHECK(pair.group.Workers().front()->Executions().at("id-2") == 1);
  }
  SECTION("it crashes on a control request") {
    fault({{"crash", true}});
    REQUIRE(RunUntil(pair.loop, [&] {
      return std::holds_alternative<http::HttpCallFailure>(pair.peer.Call(Work("id-1")));
    }));
  }
  SECTION("a fault for an unknown worker is refused") {
    CHECK(pair.control.Post("/standin/faults", {{"worker", "other"}, {"silent", true}}).status ==
          404);
    CHECK(pair.Answer(Work("id-1")).status == 200);
  }
}

TEST_CASE("Service times are those of the route with the longest matching prefix") {
  RandomGenerator generator(1);
  const ServiceTimes times({{"/", 2, 0, 0, 0}, {"/stock", 3, 0, 1, 500}});
  CHECK(times.Sample("/x", generator) == milliseconds(2));
  CHECK(times.Sample("/stock/1", generator) == milliseconds(500));
}

}  // namespace
}  // namespace qh::standin
