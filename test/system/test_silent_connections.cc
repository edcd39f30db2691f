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

/** Sends batches of concurrent calls until kSilentConnections connections to workers are open. */
void OpenConnections(TestDeployment& deployment) {
  REQUIRE(deployment.WaitUntil([&] {
    int in_progress = 0;
    for (int i = 0; i < 2 * kSilentConnections; ++i) {
      ++in_progress;
      deployment.SendAsync(deployment.Callers(0),
                           TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""),
                           [&](const CallResponse&) { --in_progress; });
    }
    return deployment.WaitUntil([&] { return in_progress == 0; }) &&
           deployment.ProxyConnections("katalog") >= kSilentConnections;
  }));
}

// Guards against idle connections that stay in the pool after a call on one of them timed out
// without a byte from the worker, each of which would cost one more time-out, and against the retry
// of an order that a silent connection may have delivered.
TEST_CASE("Silent connections cause few time-outs, and no order is retried") {
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
  // The concurrent calls used up the retry budget for hedged requests; these calls refill it.
  for (int i = 0; i < kSilentConnections; ++i) {
    deployment.Send(deployment.Callers(0),
                    TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""));
  }
  const double discards_before = deployment.EntryMetric(0, "qh_idle_connections_discarded_total");
  SilenceOpenConnections(deployment);

  SECTION("idempotent calls are retried over new connections") {
    int succeeded = 0;
    for (int i = 0; i < kSilentConnections; ++i) {
      const CallResponse response = deployment.Send(
          deployment.Callers(0), TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""));
      CAPTURE(i, response.body, response.failure);
      CHECK(response.outcome == "ran");
      succeeded += response.outcome == "ran" ? 1 : 0;
    }
    const double timeouts =
        deployment.EntryMetric(0, "qh_idle_connections_discarded_total") - discards_before;
    std::cout << "successful calls " << succeeded << ", time-outs " << timeouts << std::endl;
    CHECK(timeouts <= kWorkers);
  }
  SECTION("orders on silent connections have the outcome \"unknown\" and run at most once") {
    const std::string prefix = deployment.FetchKeyPrefix(0, kCustomer, "katalog");
    int unknown = 0;
    for (int i = 0; i < kSilentConnections; ++i) {
      const std::string key = prefix + "." + std::to_string(i);
      http::HttpRequest order =
          TestDeployment::MakeCall(kCustomer, "POST", "katalog/orders", "x", key);
      order.headers.push_back({"x-qh-deadline-ms", "300"});
      const CallResponse response = deployment.Send(deployment.Callers(0), order);
      CAPTURE(response.status, response.code);
      CHECK((response.outcome == "unknown" || response.outcome == "ran"));
      unknown += response.outcome == "unknown" ? 1 : 0;
      const std::map<std::string, int> executions = deployment.Executions();
      const auto found = executions.find(key);
      const int count = found == executions.end() ? 0 : found->second;
      CHECK(count <= 1);
      CHECK((response.outcome != "ran" || count == 1));
    }
    std::cout << "unknown " << unknown << " of " << kSilentConnections << std::endl;
    // The first time-out at a worker discards all idle connections to it.
    CHECK(unknown >= 1);
    CHECK(unknown <= kWorkers);
  }
}

}  // namespace
}  // namespace qh::test
