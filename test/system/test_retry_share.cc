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
/** Second attempts that each VM's budget may have earned while the deployment became ready. */
constexpr double kBudgetAtStart = 2;

double StartedBy(TestDeployment& deployment) {
  double started = 0;
  for (const json& state : deployment.WorkerStates()) {
    started += state["started"].get<double>();
  }
  return started;
}

TEST_CASE("Attempts stay within the contract's retry share during a total outage") {
  DeploymentOptions options;
  options.subnet = 75;
  options.vms = kVms;
  options.services = {{"katalog", 6, 2}};
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");
  // Every answer ends in mid-body: each attempt reaches a worker, and none succeeds.
  deployment.SetWorkerFaults({{"cut_answers", -1}});

  struct Case {
    const char* name;
    http::HttpHeaders headers;
    double share;
    double at_start;
  };
  const std::vector<Case> cases{
      {"first level", {}, kShare, kVms * kBudgetAtStart},
      {"x-qh-no-retry", {{"x-qh-no-retry", "1"}}, 0, 0},
      {"nested call", {{"x-qh-depth", "3"}, {"x-qh-no-retry", "1"}}, 0, 0},
      {"deepest nested call", {{"x-qh-depth", "14"}, {"x-qh-no-retry", "1"}}, 0, 0},
  };
  int number = 0;
  for (const Case& row : cases) {
    const double before = StartedBy(deployment);
    OpenLoop load(deployment, kVms, [&] {
      http::HttpRequest call = TestDeployment::MakeCall(
          "semarang", "GET", "katalog/price/" + std::to_string(++number), "");
      call.headers.insert(call.headers.end(), row.headers.begin(), row.headers.end());
      return call;
    });
    load.SetRates({kCallsPerSecond, kCallsPerSecond});
    REQUIRE(deployment.Until([&] { return load.Sent() >= 400; }));
    REQUIRE(load.Drain());
    const double attempts = StartedBy(deployment) - before;
    std::cout << row.name << ": " << load.Sent() << " calls, " << attempts << " attempts"
              << std::endl;
    CAPTURE(row.name);
    CHECK(load.Served() == 0);
    CHECK(attempts > 0);
    CHECK(attempts <= load.Sent() * (1 + row.share) + row.at_start);
  }
}

}  // namespace
}  // namespace qh::test
