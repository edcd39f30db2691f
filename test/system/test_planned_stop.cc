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

/** Sends long calls to VM 0 and waits until they run. */
void StartLongCalls(TestDeployment& deployment, std::vector<CallAnswer>& answers, int count) {
  for (int i = 0; i < count; ++i) {
    deployment.SendLater(deployment.Callers(0), LongCall(),
                         [&](CallAnswer answer) { answers.push_back(std::move(answer)); });
  }
  REQUIRE(deployment.Until(
      [&] { return deployment.EntryMetric(0, "qh_attempts_in_progress") >= count; }));
}

// Guards against calls that a stop cuts off, refuses or loses while callers still hold the address.
TEST_CASE("A planned stop under load cuts nothing") {
  TestDeployment deployment(StopOptions(66, "60s"));
  deployment.StartAndServe(kCustomer);
  std::vector<std::unique_ptr<CallingClient>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<CallingClient>(deployment, kCustomer, "katalog", 1 + i % 2));
    callers.back()->Start();
  }
  std::vector<CallAnswer> long_answers;
  StartLongCalls(deployment, long_answers, 3);
  const auto used_vm_0 = [&] {
    int calls = 0;
    for (const auto& caller : callers) {
      calls += caller->CallsTo(0);
    }
    return calls;
  };
  REQUIRE(deployment.Until([&] { return used_vm_0() > 20; }));

  SECTION("by SIGTERM") { deployment.Entry(0).Signal(SIGTERM); }
  SECTION("by POST /v1/drain") { REQUIRE(deployment.Drain(0)); }

  REQUIRE(deployment.Until([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
  CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == 0);
  deployment.RunFor(2 * kAddressTtl);
  for (const auto& caller : callers) {
    caller->Stop();
  }
  REQUIRE(deployment.Until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return !caller->IsCalling(); });
  }));
  CHECK(long_answers.size() == 3);
  for (const CallAnswer& answer : long_answers) {
    CAPTURE(answer.code, answer.failure);
    CHECK(answer.outcome == "ran");
  }
  int answered = 0;
  for (const auto& caller : callers) {
    CHECK(caller->Problems() == std::vector<std::string>{});
    answered += caller->Answered();
  }
  std::cout << "answered calls " << answered << ", of these by the stopped VM " << used_vm_0()
            << std::endl;
}

// Guards against a forced stop that reports success, and against one that does not count what it
// cut.
TEST_CASE("A stop that cuts requests says how many") {
  SECTION("after a second signal") {
    TestDeployment deployment(StopOptions(66, "60s"));
    deployment.StartAndServe(kCustomer);
    std::vector<CallAnswer> answers;
    StartLongCalls(deployment, answers, 3);
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.Until(
        [&] { return deployment.LogOf("entry0.log").find("step=drain") != std::string::npos; }));
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.Until([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
    CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == kExitCutRequests);
    CHECK(deployment.LogOf("entry0.log").find("cut_requests=3") != std::string::npos);
  }
  SECTION("at the bound") {
    TestDeployment deployment(StopOptions(66, "600ms"));
    deployment.StartAndServe(kCustomer);
    std::vector<CallAnswer> answers;
    StartLongCalls(deployment, answers, 3);
    deployment.Entry(0).Signal(SIGTERM);
    REQUIRE(deployment.Until([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
    CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == kExitCutRequests);
    CHECK(deployment.LogOf("entry0.log").find("cut_requests=3") != std::string::npos);
  }
}

}  // namespace
}  // namespace qh::test
