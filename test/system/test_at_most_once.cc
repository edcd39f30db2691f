#include <catch2/catch.hpp>
#include <csignal>

#include "test_deployment.h"

namespace qh::test {
namespace {

TEST_CASE("A non-idempotent request runs at most once") {
  DeploymentOptions options;
  options.subnet = 51;
  options.services = {{"katalog", 2, 3}, {"pesanan", 2, 200}};
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");
  const std::string key = deployment.KeyPrefix(0, "semarang", "pesanan") + ".order-1";
  const http::HttpRequest order =
      TestDeployment::MakeCall("semarang", "POST", "pesanan/orders", "ten curtains", key);

  SECTION("sent again to the same VM and to another one, it is answered from the first run") {
    const CallAnswer first = deployment.Send(deployment.Callers(0), order);
    REQUIRE(first.status == 200);
    for (const int vm : {0, 1, 2}) {
      CAPTURE(vm);
      const CallAnswer again = deployment.Send(deployment.Callers(vm), order);
      CHECK(again.status == 200);
      CHECK(again.body == first.body);
    }
    CHECK(deployment.Executions()[key] == 1);

    SECTION("the same key with another body is an error and runs nothing") {
      http::HttpRequest other = order;
      other.body = "nine curtains";
      const CallAnswer reused = deployment.Send(deployment.Callers(0), other);
      CHECK(reused.code == "key_reused");
      CHECK(deployment.Executions()[key] == 1);
    }
  }
  SECTION("sent to two VMs at the same moment, it runs once") {
    std::vector<CallAnswer> answers;
    for (const int vm : {0, 1}) {
      deployment.SendLater(deployment.Callers(vm), order,
                           [&](CallAnswer answer) { answers.push_back(std::move(answer)); });
    }
    REQUIRE(deployment.Until([&] { return answers.size() == 2; }));
    for (const CallAnswer& answer : answers) {
      CAPTURE(answer.status, answer.code, answer.failure);
      CHECK((answer.outcome == "ran" || answer.code == "key_in_progress" ||
             answer.code == "key_refused"));
    }
    CHECK(deployment.Executions()[key] <= 1);
  }
  SECTION("its holder is killed while it runs: others answer unknown and never run it") {
    std::optional<CallAnswer> first;
    deployment.SendLater(deployment.Callers(0), order,
                         [&](CallAnswer answer) { first = std::move(answer); });
    REQUIRE(deployment.Until([&] { return deployment.Executions()[key] == 1; }));
    deployment.Entry(0).Signal(SIGKILL);
    REQUIRE(deployment.Until([&] { return first.has_value(); }));
    CHECK(first->status == 0);
    const CallAnswer elsewhere = deployment.Send(deployment.Callers(1), order);
    CHECK(elsewhere.outcome == "unknown");

    SECTION("also when the VM is back with another incarnation") {
      deployment.StartEntry(0);
      REQUIRE(deployment.Until(
          [&] { return deployment.Send(deployment.Callers(0), order).code == "key_lost"; }));
    }
    CHECK(deployment.Executions()[key] == 1);
  }
  SECTION("its holder is paused: others answer unknown, and after the pause it ran at most once") {
    deployment.Entry(0).Signal(SIGSTOP);
    std::optional<CallAnswer> first;
    deployment.SendLater(deployment.Callers(0), order,
                         [&](CallAnswer answer) { first = std::move(answer); });
    const CallAnswer elsewhere = deployment.Send(deployment.Callers(1), order);
    CHECK(elsewhere.code == "key_holder_unreachable");
    CHECK(elsewhere.outcome == "unknown");
    deployment.Entry(0).Signal(SIGCONT);
    REQUIRE(deployment.Until([&] { return first.has_value(); }));
    deployment.RunFor(std::chrono::milliseconds(500));
    CHECK(deployment.Executions()[key] <= 1);
  }
}

}  // namespace
}  // namespace qh::test
