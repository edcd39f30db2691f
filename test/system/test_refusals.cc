#include <catch2/catch.hpp>
#include <csignal>

#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";

/** An order whose key VM 0 issued; VM 0 is the holder of the key. */
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
  return {deployment.FetchKeyPrefix(0, kCustomer, "pesanan") + "." + name, body};
}

/**
 * Repeats `order` at `vm` until the response has `code`. No response may have the outcome
 * "not-run".
 */
bool WaitForCode(TestDeployment& deployment, int vm, const Order& order, const std::string& code) {
  return deployment.WaitUntil([&] {
    const CallResponse response =
        deployment.Send(deployment.Callers(vm), order.Request(2), milliseconds(2000));
    CAPTURE(vm, response.status, response.code, response.failure);
    CHECK(response.outcome != "not-run");
    return response.code == code && response.status != 0;
  });
}

// Guards against the outcome "not-run" for a repeated order that ran: its caller would send the
// order again with a new key, and it would run twice.
TEST_CASE("A repeated order that ran does not get the outcome \"not-run\"") {
  DeploymentOptions options;
  options.subnet = 61;
  options.services = {{"katalog", 1, 3}, {"pesanan", 3, 3}};
  options.extra_settings = "[contracts]\nconfirmation_limit = 1500ms\n";
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  const Order order = MakeOrder(deployment, "order-1", "ten curtains");
  const CallResponse first = deployment.Send(deployment.Callers(0), order.Request(1));
  REQUIRE(first.outcome == "ran");

  const auto check_replays = [&] {
    for (const int vm : {0, 1}) {
      const CallResponse repeated = deployment.Send(deployment.Callers(vm), order.Request(2));
      CAPTURE(vm, repeated.status, repeated.code);
      CHECK(repeated.outcome == "ran");
      CHECK(repeated.body == first.body);
    }
    CHECK(deployment.Executions()[order.key] == 1);
  };

  SECTION("while all workers are leaving") {
    deployment.ChangeVmList(
        {{"state",
          {{"pesanan-0", "leaving"}, {"pesanan-1", "leaving"}, {"pesanan-2", "leaving"}}}});
    for (const int vm : {0, 1}) {
      REQUIRE(deployment.WaitUntil([&] {
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
    REQUIRE(deployment.WaitUntil([&] {
      return deployment
                 .Send(deployment.Callers(0),
                       TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""))
                 .code == "contract_unconfirmed";
    }));
    const CallResponse repeated = deployment.Send(deployment.Callers(0), order.Request(2));
    CHECK(repeated.outcome == "ran");
    CHECK(repeated.body == first.body);
    // The holder has no control process now, so the other VMs no longer know the holder.
    const CallResponse elsewhere = deployment.Send(deployment.Callers(1), order.Request(2));
    CAPTURE(elsewhere.code);
    CHECK(elsewhere.outcome != "not-run");
    CHECK(deployment.Executions()[order.key] == 1);
  }
  SECTION("while the holder restarts and is not ready") {
    deployment.Entry(0).Signal(SIGKILL);
    REQUIRE(deployment.Entry(0).WaitForExit(milliseconds(10000)).has_value());
    deployment.Control(0).Signal(SIGSTOP);
    deployment.StartEntry(0);
    CHECK(WaitForCode(deployment, 0, order, "key_lost"));
    deployment.Control(0).Signal(SIGCONT);
    CHECK(WaitForCode(deployment, 1, order, "key_lost"));
    CHECK(deployment.Executions()[order.key] == 1);
  }
  SECTION("after orders with the same body have crashed two workers and are quarantined") {
    deployment.SetWorkerFaults({{"service", "pesanan"}, {"restart_after_ms", 200}});
    std::vector<Order> crashing;
    REQUIRE(deployment.WaitUntil([&] {
      crashing.push_back(
          MakeOrder(deployment, "crash-" + std::to_string(crashing.size()), "qh-crash-worker"));
      return deployment.Send(deployment.Callers(0), crashing.back().Request(1)).code ==
             "quarantined";
    }));
    const std::map<std::string, int> executions = deployment.Executions();
    for (const Order& crashed : crashing) {
      const CallResponse repeated = deployment.Send(deployment.Callers(0), crashed.Request(2));
      CAPTURE(crashed.key, repeated.code);
      const bool ran = executions.contains(crashed.key);
      CHECK((repeated.outcome == "not-run") == !ran);
    }
    CHECK(deployment.Executions() == executions);
  }
}

// Guards against a delayed first request that runs after the repeated request got the outcome
// "not-run": its caller may have sent the order with a new key by then.
TEST_CASE("An order whose repetition got \"not-run\" does not run later") {
  DeploymentOptions options;
  options.subnet = 69;
  options.services = {{"katalog", 1, 3}, {"pesanan", 1, 3}};
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  const Order order = MakeOrder(deployment, "order-1", "ten curtains");

  SECTION("from another entry VM, which asked the holder") {
    const CallResponse refused = deployment.Send(deployment.Callers(1), order.Request(2));
    CHECK(refused.code == "key_refused");
    CHECK(refused.outcome == "not-run");
  }
  SECTION("from the holder, while no worker could be reached") {
    deployment.SetProxyFaults({{"route", "pesanan-0"}, {"refuse", true}});
    const CallResponse refused = deployment.Send(deployment.Callers(0), order.Request(2));
    CHECK(refused.code == "no_worker");
    CHECK(refused.outcome == "not-run");
    deployment.SetProxyFaults({{"route", "pesanan-0"}, {"refuse", false}});
  }
  const CallResponse late = deployment.Send(deployment.Callers(0), order.Request(1));
  CHECK(late.code == "key_refused");
  CHECK(late.outcome == "not-run");
  CHECK_FALSE(deployment.Executions().contains(order.key));
}

}  // namespace
}  // namespace qh::test
