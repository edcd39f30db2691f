#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "open_loop.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using nlohmann::json;

constexpr int kVms = 2;
constexpr double kShare = 0.2;
constexpr double kCallsPerSecond = 150;
/** Retries that the budget of each VM may have accumulated while the deployment became ready. */
constexpr double kInitialBudgetPerVm = 2;

double CountStarted(TestDeployment& deployment) {
  double started = 0;
  for (const json& state : deployment.WorkerStates()) {
    started += state["started"].get<double>();
  }
  return started;
}

// Guards against retries that multiply the load when every attempt fails, also in nested calls.
TEST_CASE("Attempts stay within the contract's retry share during a total outage") {
  DeploymentOptions options;
  options.subnet = 75;
  options.vms = kVms;
  options.services = {{"katalog", 6, 2}};
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");
  // Every response is truncated in the body: each attempt reaches a worker, and none succeeds.
  deployment.SetWorkerFaults({{"cut_answers", -1}});

  struct Case {
    const char* name;
    http::HttpHeaders headers;
    double share;
    double initial_budget;
  };
  const std::vector<Case> cases{
      {"top-level call", {}, kShare, kVms * kInitialBudgetPerVm},
      {"x-qh-no-retry", {{"x-qh-no-retry", "1"}}, 0, 0},
      {"nested call", {{"x-qh-depth", "3"}, {"x-qh-no-retry", "1"}}, 0, 0},
      {"deepest nested call", {{"x-qh-depth", "14"}, {"x-qh-no-retry", "1"}}, 0, 0},
  };
  int number = 0;
  for (const Case& row : cases) {
    const double before = CountStarted(deployment);
    OpenLoop load(deployment, kVms, [&] {
      http::HttpRequest call = TestDeployment::MakeCall(
          "semarang", "GET", "katalog/price/" + std::to_string(++number), "");
      call.headers.insert(call.headers.end(), row.headers.begin(), row.headers.end());
      return call;
    });
    load.SetRates({kCallsPerSecond, kCallsPerSecond});
    REQUIRE(deployment.WaitUntil([&] { return load.Sent() >= 400; }));
    REQUIRE(load.Drain());
    const double attempts = CountStarted(deployment) - before;
    std::cout << row.name << ": " << load.Sent() << " calls, " << attempts << " attempts"
              << std::endl;
    CAPTURE(row.name);
    CHECK(load.Served() == 0);
    CHECK(attempts > 0);
    CHECK(attempts <= load.Sent() * (1 + row.share) + row.initial_budget);
  }
}

}  // namespace
}  // namespace qh::test
