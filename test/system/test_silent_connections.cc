#include <catch2/catch.hpp>
#include <iostream>

#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
/** 17 workers with 6 slots each give more than 100 connections. */
constexpr int kWorkers = 17;
constexpr int kSilentConnections = 100;

void SilenceOpenConnections(TestDeployment& deployment) {
  for (int i = 0; i < kWorkers; ++i) {
    deployment.SetProxyFaults({{"route", "katalog-" + std::to_string(i)}, {"silence_open", true}});
  }
}

/** Sends calls at once until as many connections to workers are open as the test needs. */
void OpenConnections(TestDeployment& deployment) {
  REQUIRE(deployment.Until([&] {
    int in_progress = 0;
    for (int i = 0; i < 2 * kSilentConnections; ++i) {
      ++in_progress;
      deployment.SendLater(deployment.Callers(0),
                           TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""),
                           [&](const CallAnswer&) { --in_progress; });
    }
    return deployment.Until([&] { return in_progress == 0; }) &&
           deployment.ProxyConnections("katalog") >= kSilentConnections;
  }));
}

// Guards against idle connections that stay in the pool after one of them was found silent, and
// against a repetition of an order that a silent connection may have delivered.
TEST_CASE("Connections that went silent cost few timeouts, and no order is repeated") {
  DeploymentOptions options;
  options.subnet = 64;
  options.vms = 1;
  options.services = {{"katalog", kWorkers, 40}};
  options.extra_settings = "[routing]\nsilent_after = 300ms\n";
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  nlohmann::json contract = deployment.ContractFor(kCustomer);
  contract["limits"]["retry_share"] = 1;
  REQUIRE(deployment.PutContract(0, contract, "retry-share").status == 200);
  OpenConnections(deployment);
  // The calls at once spend the budget for second attempts on hedges; these earn it again.
  for (int i = 0; i < kSilentConnections; ++i) {
    deployment.Send(deployment.Callers(0),
                    TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""));
  }
  const double discards_before = deployment.EntryMetric(0, "qh_idle_connections_discarded_total");
  SilenceOpenConnections(deployment);

  SECTION("idempotent calls finish over new connections") {
    int whole = 0;
    for (int i = 0; i < kSilentConnections; ++i) {
      const CallAnswer answer = deployment.Send(
          deployment.Callers(0), TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""));
      CAPTURE(i, answer.body, answer.failure);
      CHECK(answer.outcome == "ran");
      whole += answer.outcome == "ran" ? 1 : 0;
    }
    const double timeouts =
        deployment.EntryMetric(0, "qh_idle_connections_discarded_total") - discards_before;
    std::cout << "whole answers " << whole << ", timeouts " << timeouts << std::endl;
    CHECK(timeouts <= kWorkers);
  }
  SECTION("orders on silent connections answer unknown, and run at most once") {
    const std::string prefix = deployment.KeyPrefix(0, kCustomer, "katalog");
    int unknown = 0;
    for (int i = 0; i < kSilentConnections; ++i) {
      const std::string key = prefix + "." + std::to_string(i);
      http::HttpRequest order =
          TestDeployment::MakeCall(kCustomer, "POST", "katalog/orders", "x", key);
      order.headers.push_back({"x-qh-deadline-ms", "300"});
      const CallAnswer answer = deployment.Send(deployment.Callers(0), order);
      CAPTURE(answer.status, answer.code);
      CHECK((answer.outcome == "unknown" || answer.outcome == "ran"));
      unknown += answer.outcome == "unknown" ? 1 : 0;
      const std::map<std::string, int> executions = deployment.Executions();
      const auto found = executions.find(key);
      const int count = found == executions.end() ? 0 : found->second;
      CHECK(count <= 1);
      CHECK((answer.outcome != "ran" || count == 1));
    }
    std::cout << "unknown " << unknown << " of " << kSilentConnections << std::endl;
    // The first timeout at a worker discards all its idle connections.
    CHECK(unknown >= 1);
    CHECK(unknown <= kWorkers);
  }
}

}  // namespace
}  // namespace qh::test
