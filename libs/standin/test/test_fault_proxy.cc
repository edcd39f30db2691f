#include "quetzalhinge/standin/fault_proxy.h"
#include "quetzalhinge/standin/standin_worker.h"
#include "test_peer.h"

namespace qh::standin {
namespace {

using http::CallStage;
using http::HttpCallFailure;
using http::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;

TEST_CASE("A proxy injects faults between a caller and a worker") {
  net::EventLoop loop;
  StandinWorkerOptions worker_options;
  worker_options.listen = {"127.0.0.1", 0};
  worker_options.routes = {{"/", 1, 0, 0, 0}};
  StandinWorker worker(loop, worker_options);
  REQUIRE(IsOk(worker.Start()));
  FaultProxy proxy(loop, {{"127.0.0.1", 0}, {{"w", {"127.0.0.1", 0}, worker.LocalEndpoint()}}});
  REQUIRE(IsOk(proxy.Start()));
  TestPeer control(loop, proxy.ControlEndpoint());
  TestPeer caller(loop, proxy.RouteEndpoint("w"));

  const auto call = [&](milliseconds timeout = std::chrono::seconds(30)) {
    return caller.Call({"POST", "/", {{"x-qh-request-id", "id"}}, "body"}, timeout);
  };
  const auto succeeds = [&] { return std::holds_alternative<HttpResponse>(call()); };
  const auto fault = [&](const json& faults) {
    CHECK(control.Post("/standin/faults", faults).status == 200);
  };
  REQUIRE(succeeds());

  SECTION("a response is lost although the request was delivered") {
    fault({{"lose_answers", 1}});
    const auto lost = call();
    REQUIRE(std::holds_alternative<HttpCallFailure>(lost));
    CHECK(std::get<HttpCallFailure>(lost).stage == CallStage::kSent);
    CHECK(worker.Executions().at("id") == 2);
    CHECK(succeeds());
  }
  SECTION("a response is truncated") {
    fault({{"cut_answers_after", 200}});
    const auto cut = call();
    REQUIRE(std::holds_alternative<HttpCallFailure>(cut));
    CHECK(std::get<HttpCallFailure>(cut).stage == CallStage::kResponseStarted);
    fault({{"cut_answers_after", 0}});
    CHECK(succeeds());
  }
  SECTION("an open connection is silenced while new connections work") {
    http::HttpClient& client = caller.Client();
    const auto pooled_call = [&](milliseconds timeout) {
      std::optional<bool> answered;
      client.Start({"GET", "/", {}, ""}, timeout, [&](const http::HttpCallResult& result) {
        answered = std::holds_alternative<HttpResponse>(result);
      });
      RunUntil(loop, [&] { return answered.has_value(); });
      return answered.value_or(false);
    };
    CHECK(pooled_call(std::chrono::seconds(30)));
    fault({{"silence_open", true}});
    CHECK_FALSE(pooled_call(milliseconds(100)));
    CHECK(succeeds());
  }
  SECTION("connections are refused, then accepted again at the same address") {
    fault({{"refuse", true}});
    const auto refused = call();
    REQUIRE(std::holds_alternative<HttpCallFailure>(refused));
    CHECK(std::get<HttpCallFailure>(refused).stage == CallStage::kNotConnected);
    fault({{"refuse", false}});
    CHECK(succeeds());
  }
  SECTION("open connections are closed") {
    worker.ApplyFaults({{"silent", true}});
    std::optional<http::HttpCallResult> outcome;
    caller.Client().Start({"GET", "/", {}, ""}, std::chrono::seconds(30),
                          [&](http::HttpCallResult result) { outcome = std::move(result); });
    REQUIRE(RunUntil(loop, [&] {
      return json::parse(control.Get("/standin/state").body.Bytes())["open_connections"]["w"] == 1;
    }));
    loop.RunOnce(milliseconds(20));
    fault({{"cut_open", true}});
    REQUIRE(RunUntil(loop, [&] { return outcome.has_value(); }));
    CHECK(std::holds_alternative<HttpCallFailure>(*outcome));
  }
  SECTION("delayed or rate-limited data arrives complete") {
    fault({{"delay_ms", 30}});
    const TimePoint start = loop.Now();
    CHECK(succeeds());
    CHECK(loop.Now() - start >= milliseconds(60));
    fault({{"delay_ms", 0}, {"bytes_per_second", 5000}});
    CHECK(succeeds());
  }
}

}  // namespace
}  // namespace qh::standin
