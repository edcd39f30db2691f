#include <catch2/catch.hpp>
#include <csignal>

#include "test_deployment.h"

namespace qh::test {
namespace {

// Guards against a second execution of an order: when a caller sends its key again, to the same or
// to another VM, and when the VM that issued the key (its holder) is killed or paused while it
// runs.
TEST_CASE("A non-idempotent request runs at most once") {
  DeploymentOptions options;
  options.subnet = 51;
  options.services = {{"katalog", 2, 3}, {"pesanan", 2, 200}};
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");
  const std::string key = deployment.FetchKeyPrefix(0, "semarang", "pesanan") + ".order-1";
  const http::HttpRequest order =
      TestDeployment::MakeCall("semarang", "POST", "pesanan/orders", "ten curtains", key);

  SECTION("a repetition at any VM gets the stored response of the first execution") {
    const CallResponse first = deployment.Send(deployment.Callers(0), order);
    REQUIRE(first.status == 200);
    for (const int vm : {0, 1, 2}) {
      CAPTURE(vm);
      const CallResponse repeated = deployment.Send(deployment.Callers(vm), order);
      CHECK(repeated.status == 200);
      CHECK(repeated.body == first.body);
    }
    CHECK(deployment.Executions()[key] == 1);

    SECTION("the same key with another body is rejected without an execution") {
      http::HttpRequest other = order;
      other.body = "nine curtains";
      const CallResponse reused = deployment.Send(deployment.Callers(0), other);
      CHECK(reused.code == "key_reused");
      CHECK(deployment.Executions()[key] == 1);
    }
  }
  SECTION("concurrent requests with one key at two VMs run at most once") {
    std::vector<CallResponse> responses;
    for (const int vm : {0, 1}) {
      deployment.SendAsync(deployment.Callers(vm), order, [&](CallResponse response) {
        responses.push_back(std::move(response));
      });
    }
    REQUIRE(deployment.WaitUntil([&] { return responses.size() == 2; }));
    for (const CallResponse& response : responses) {
      CAPTURE(response.status, response.code, response.failure);
      CHECK((response.outcome == "ran" || response.code == "key_in_progress" ||
             response.code == "key_refused"));
    }
    CHECK(deployment.Executions()[key] <= 1);
  }
  SECTION("holder killed during the execution: other VMs answer \"unknown\" and do not run it") {
    std::optional<CallResponse> first;
    deployment.SendAsync(deployment.Callers(0), order,
                         [&](CallResponse response) { first = std::move(response); });
    REQUIRE(deployment.WaitUntil([&] { return deployment.Executions()[key] == 1; }));
    deployment.Entry(0).Signal(SIGKILL);
    REQUIRE(deployment.WaitUntil([&] { return first.has_value(); }));
    CHECK(first->status == 0);
    const CallResponse elsewhere = deployment.Send(deployment.Callers(1), order);
    CHECK(elsewhere.outcome == "unknown");

    SECTION("also after the holder has restarted with a new incarnation") {
      deployment.StartEntry(0);
      REQUIRE(deployment.WaitUntil(
          [&] { return deployment.Send(deployment.Callers(0), order).code == "key_lost"; }));
    }
    CHECK(deployment.Executions()[key] == 1);
  }
  SECTION("holder paused: other VMs answer \"unknown\", and it runs at most once after the pause") {
    deployment.Entry(0).Signal(SIGSTOP);
    std::optional<CallResponse> first;
    deployment.SendAsync(deployment.Callers(0), order,
                         [&](CallResponse response) { first = std::move(response); });
    const CallResponse elsewhere = deployment.Send(deployment.Callers(1), order);
    CHECK(elsewhere.code == "key_holder_unreachable");
    CHECK(elsewhere.outcome == "unknown");
    deployment.Entry(0).Signal(SIGCONT);
    REQUIRE(deployment.WaitUntil([&] { return first.has_value(); }));
    deployment.RunFor(std::chrono::milliseconds(500));
    CHECK(deployment.Executions()[key] <= 1);
  }
}

}  // namespace
}  // namespace qh::test
