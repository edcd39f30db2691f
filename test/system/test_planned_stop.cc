#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "calling_client.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
constexpr milliseconds kAddressTtl{500};
constexpr int kExitCutRequests = 3;
constexpr milliseconds kExitLimit{60000};

DeploymentOptions StopOptions(int subnet, const std::string& drain_limit) {
  DeploymentOptions options;
  options.subnet = subnet;
  options.services = {{"katalog", 4, 5}, {"panduan", 3, 2500}};
  options.extra_settings = "[callers]\naddress_ttl = " + std::to_string(kAddressTtl.count()) +
                           "ms\n[stop]\ndrain_limit = " + drain_limit + "\n";
  return options;
}

http::HttpRequest LongCall() {
  return TestDeployment::MakeCall(kCustomer, "GET", "panduan/guide", "");
}

/** Sends long calls to VM 0 and waits until all of them are in progress. */
void StartLongCalls(TestDeployment& deployment, std::vector<CallResponse>& responses, int count) {
  for (int i = 0; i < count; ++i) {
    deployment.SendAsync(deployment.Callers(0), LongCall(),
                         [&](CallResponse response) { responses.push_back(std::move(response)); });
  }
  REQUIRE(deployment.WaitUntil(
      [&] { return deployment.EntryMetric(0, "qh_attempts_in_progress") >= count; }));
}

// Guards against calls that are aborted, refused or lost when an entry VM stops while callers still
// have its address cached.
TEST_CASE("A planned stop under load aborts no call") {
  TestDeployment deployment(StopOptions(66, "60s"));
  deployment.StartAndServe(kCustomer);
  std::vector<std::unique_ptr<CallingClient>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<CallingClient>(deployment, kCustomer, "katalog", 1 + i % 2));
    callers.back()->Start();
  }
  std::vector<CallResponse> long_responses;
  StartLongCalls(deployment, long_responses, 3);
  const auto calls_to_vm_0 = [&] {
    int calls = 0;
    for (const auto& caller : callers) {
      calls += caller->CallsTo(0);
    }
    return calls;
  };
  REQUIRE(deployment.WaitUntil([&] { return calls_to_vm_0() > 20; }));

  SECTION("by SIGTERM") { deployment.Entry(0).Signal(SIGTERM); }
  SECTION("by POST /v1/drain") { REQUIRE(deployment.Drain(0)); }

  REQUIRE(deployment.WaitUntil([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
  CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == 0);
  deployment.RunFor(2 * kAddressTtl);
  for (const auto& caller : callers) {
    caller->Stop();
  }
  REQUIRE(deployment.WaitUntil([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return !caller->HasCallInProgress(); });
  }));
  CHECK(long_responses.size() == 3);
  for (const CallResponse& response : long_responses) {
    CAPTURE(response.code, response.failure);
    CHECK(response.outcome == "ran");
  }
  int succeeded = 0;
  for (const auto& caller : callers) {
    CHECK(caller->Problems() == std::vector<std::string>{});
    succeeded += caller->Succeeded();
  }
  std::cout << "successful calls " << succeeded << ", of these by the stopped VM "
            << calls_to_vm_0() << std::endl;
}

// Guards against a forced stop that exits with code 0, or that does not log how many requests it
// aborted.
TEST_CASE("A stop that aborts requests reports their number") {
  SECTION("after a second signal") {
    TestDeployment deployment(StopOptions(66, "60s"));
    deployment.StartAndServe(kCustomer);
    std::vector<CallResponse> responses;
    StartLongCalls(deployment, responses, 3);
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.WaitUntil(
        [&] { return deployment.ReadLog("entry0.log").find("step=drain") != std::string::npos; }));
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.WaitUntil([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
    CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == kExitCutRequests);
    CHECK(deployment.ReadLog("entry0.log").find("cut_requests=3") != std::string::npos);
  }
  SECTION("after the drain limit") {
    TestDeployment deployment(StopOptions(66, "600ms"));
    deployment.StartAndServe(kCustomer);
    std::vector<CallResponse> responses;
    StartLongCalls(deployment, responses, 3);
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.WaitUntil([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
    CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == kExitCutRequests);
    CHECK(deployment.ReadLog("entry0.log").find("cut_requests=3") != std::string::npos);
  }
}

}  // namespace
}  // namespace qh::test
