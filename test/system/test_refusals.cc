#include <catch2/catch.hpp>
#include <csignal>

#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";

/** An order that VM 0 holds. */
struct Order {
  std::string key;
  std::string body;

  http::HttpRequest Request(int attempt) const {
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, "POST", "pesanan/orders", body, key);
    request.headers.push_back({"x-qh-attempt", std::to_string(attempt)});
    return request;
  }
};

Order MakeOrder(TestDeployment& deployment, const std::string& name, const std::string& body) {
  return {deployment.KeyPrefix(0, kCustomer, "pesanan") + "." + name, body};
}

/** Sends `order` to VM `vm` until an answer has this code; none may say "not run". */
bool UntilCode(TestDeployment& deployment, int vm, const Order& order, const std::string& code) {
  return deployment.Until([&] {
    const CallAnswer answer =
        deployment.Send(deployment.Callers(vm), order.Request(2), milliseconds(2000));
    CAPTURE(vm, answer.status, answer.code, answer.failure);
    CHECK(answer.outcome != "not-run");
    return answer.code == code && answer.status != 0;
  });
}

// Guards against "not run" as the answer to a repeated order that ran: its caller would send the
// order under a new key, and it would run twice.
TEST_CASE("An order that ran is not refused with \"not run\" when it is sent again") {
  DeploymentOptions options;
  options.subnet = 61;
  options.services = {{"katalog", 1, 3}, {"pesanan", 3, 3}};
  options.extra_settings = "[contracts]\nconfirmation_limit = 1500ms\n";
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  const Order order = MakeOrder(deployment, "order-1", "ten curtains");
  const CallAnswer first = deployment.Send(deployment.Callers(0), order.Request(1));
  REQUIRE(first.outcome == "ran");

  const auto check_replays = [&] {
    for (const int vm : {0, 1}) {
      const CallAnswer again = deployment.Send(deployment.Callers(vm), order.Request(2));
      CAPTURE(vm, again.status, again.code);
      CHECK(again.outcome == "ran");
      CHECK(again.body == first.body);
    }
    CHECK(deployment.Executions()[order.key] == 1);
  };

  SECTION("while no worker takes work") {
    deployment.ChangeVmList(
        {{"state",
          {{"pesanan-0", "leaving"}, {"pesanan-1", "leaving"}, {"pesanan-2", "leaving"}}}});
    for (const int vm : {0, 1}) {
      REQUIRE(deployment.Until([&] {
        return deployment
                   .Send(deployment.Callers(vm),
                         TestDeployment::MakeCall(kCustomer, "GET", "pesanan/stock", ""))
                   .code == "no_worker";
      }));
    }
    check_replays();
  }
  SECTION("while the holder's contracts are not confirmed") {
    deployment.Control(0).Signal(SIGKILL);
    REQUIRE(deployment.Until([&] {
      return deployment
                 .Send(deployment.Callers(0),
                       TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""))
                 .code == "contract_unconfirmed";
    }));
    const CallAnswer again = deployment.Send(deployment.Callers(0), order.Request(2));
    CHECK(again.outcome == "ran");
    CHECK(again.body == first.body);
    // Without its control process the holder is unknown to the others by now.
    const CallAnswer elsewhere = deployment.Send(deployment.Callers(1), order.Request(2));
    CAPTURE(elsewhere.code);
    CHECK(elsewhere.outcome != "not-run");
    CHECK(deployment.Executions()[order.key] == 1);
  }
  SECTION("while the holder starts again and is not ready") {
    deployment.Entry(0).Signal(SIGKILL);
    REQUIRE(deployment.Entry(0).WaitForExit(milliseconds(10000)).has_value());
    deployment.Control(0).Signal(SIGSTOP);
    deployment.StartEntry(0);
    CHECK(UntilCode(deployment, 0, order, "key_lost"));
    deployment.Control(0).Signal(SIGCONT);
    CHECK(UntilCode(deployment, 1, order, "key_lost"));
    CHECK(deployment.Executions()[order.key] == 1);
  }
  SECTION("after its like has crashed two workers and is under quarantine") {
    deployment.SetWorkerFaults({{"service", "pesanan"}, {"restart_after_ms", 200}});
    std::vector<Order> crashing;
    REQUIRE(deployment.Until([&] {
      crashing.push_back(
          MakeOrder(deployment, "crash-" + std::to_string(crashing.size()), "qh-crash-worker"));
      return deployment.Send(deployment.Callers(0), crashing.back().Request(1)).code ==
             "quarantined";
    }));
    const std::map<std::string, int> executions = deployment.Executions();
    for (const Order& crashed : crashing) {
      const CallAnswer again = deployment.Send(deployment.Callers(0), crashed.Request(2));
      CAPTURE(crashed.key, again.code);
      const bool ran = executions.contains(crashed.key);
      CHECK((again.outcome == "not-run") == !ran);
    }
    CHECK(deployment.Executions() == executions);
  }
}

// Guards against a first request that arrives after a repeated one was refused with "not run":
// its caller may have used a new key by then.
TEST_CASE("An order that was refused when it was sent again does not run later") {
  DeploymentOptions options;
  options.subnet = 69;
  options.services = {{"katalog", 1, 3}, {"pesanan", 1, 3}};
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  const Order order = MakeOrder(deployment, "order-1", "ten curtains");

  SECTION("by another entry VM, which asked the holder") {
    const CallAnswer refused = deployment.Send(deployment.Callers(1), order.Request(2));
    CHECK(refused.code == "key_refused");
    CHECK(refused.outcome == "not-run");
  }
  SECTION("by the holder, while no worker could be reached") {
    deployment.SetProxyFaults({{"route", "pesanan-0"}, {"refuse", true}});
    const CallAnswer refused = deployment.Send(deployment.Callers(0), order.Request(2));
    CHECK(refused.code == "no_worker");
    CHECK(refused.outcome == "not-run");
    deployment.SetProxyFaults({{"route", "pesanan-0"}, {"refuse", false}});
  }
  const CallAnswer late = deployment.Send(deployment.Callers(0), order.Request(1));
  CHECK(late.code == "key_refused");
  CHECK(late.outcome == "not-run");
  CHECK_FALSE(deployment.Executions().contains(order.key));
}

}  // namespace
}  // namespace qh::test
