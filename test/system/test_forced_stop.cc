#include <catch2/catch.hpp>
#include <csignal>

#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
constexpr int kSubnet = 83;
constexpr int kExitCutRequests = 3;
constexpr milliseconds kExitLimit{60000};
constexpr double kMinQueuedCalls = 4;

/** Numbers of responses that say that a call may have run, or that no worker has run it. */
struct CallCounts {
  int unknown = 0;
  int not_run = 0;
};

/** Checks that there is a response to each call, and counts those that the forced stop has sent. */
CallCounts CheckResponses(const std::vector<CallResponse>& responses) {
  CallCounts counts;
  for (const CallResponse& response : responses) {
    CAPTURE(response.status, response.code, response.failure);
    CHECK(response.status != 0);
    if (response.code == "outcome_unknown") {
      CHECK(response.status == 502);
      CHECK(response.outcome == "unknown");
      ++counts.unknown;
    } else if (response.code == "shutting_down") {
      CHECK(response.status == 503);
      CHECK(response.outcome == "not-run");
      ++counts.not_run;
    }
  }
  return counts;
}

// Guards against calls that end without a response when a stop ends before they do.
TEST_CASE("Each call that is open when a stop is cut short gets a response") {
  const bool ends_by_limit = GENERATE(false, true);
  CAPTURE(ends_by_limit);
  DeploymentOptions options;
  options.subnet = kSubnet;
  options.services = {{"katalog", 4, 5}, {"panduan", 3, 2500}};
  options.extra_settings = "[callers]\naddress_ttl = 500ms\n[stop]\ndrain_limit = " +
                           std::string(ends_by_limit ? "200ms" : "60s") + "\n";
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  std::vector<CallResponse> responses;
  // The first calls occupy the workers, some of the later ones wait in the queue.
  std::size_t sent = 0;
  REQUIRE(deployment.WaitUntil([&] {
    deployment.SendAsync(deployment.Callers(0),
                         TestDeployment::MakeCall(kCustomer, "GET", "panduan/guide", ""),
                         [&](CallResponse response) { responses.push_back(std::move(response)); });
    ++sent;
    return deployment.EntryMetric(0, "qh_calls_in_progress") >
           deployment.EntryMetric(0, "qh_attempts_in_progress") + kMinQueuedCalls;
  }));
  deployment.Entry(0).Signal(SIGTERM);
  if (!ends_by_limit) {
    REQUIRE(deployment.WaitUntil(
        [&] { return deployment.ReadLog("entry0.log").find("step=drain") != std::string::npos; }));
    deployment.Entry(0).Signal(SIGTERM);
  }
  REQUIRE(deployment.WaitUntil([&] { return !deployment.Entry(0).IsRunning(); }, kExitLimit));
  CHECK(deployment.Entry(0).WaitForExit(kExitLimit) == kExitCutRequests);
  REQUIRE(deployment.WaitUntil([&] { return responses.size() == sent; }));
  const CallCounts counts = CheckResponses(responses);
  // Some calls were at workers, others in the queue.
  CHECK(counts.unknown > 0);
  CHECK(counts.not_run > 0);
}

}  // namespace
}  // namespace qh::test
