#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <set>
#include <string>

#include "test_deployment.h"

namespace qh::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kVms = 3;
/**
 * Documented bound: two crashes lead to a quarantine, and each VM may run the request once more
 * before the quarantine notice arrives.
 */
constexpr int kMaxLostWorkers = 2 + kVms;
constexpr const char* kCrashMarker = "qh-crash-worker";

class CrashFixture {
 public:
  CrashFixture() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  CallResponse Call(int vm, const std::string& path, const std::string& body) {
    return m_deployment.Send(m_deployment.Callers(vm),
                             TestDeployment::MakeCall("semarang", "GET", path, body));
  }

  /** Returns the number of executions of the requests, over all workers. */
  int CountExecutions(const std::set<std::string>& request_ids) {
    int runs = 0;
    for (const auto& [key, count] : m_deployment.Executions()) {
      runs += request_ids.contains(key) ? count : 0;
    }
    return runs;
  }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.subnet = 72;
    options.vms = kVms;
    options.services = {{"katalog", 8, 3}, {"panduan", 3, 400}};
    return options;
  }

  TestDeployment m_deployment;
};

std::string RequestIdOf(const CallResponse& response) {
  return std::string(http::FindHeader(response.headers, "x-qh-request-id").value_or(""));
}

// Guards against a request that crashes one worker after the other, because its caller repeats it
// at each VM, and against a quarantine that also refuses other requests.
TEST_CASE("A request that crashes workers is quarantined at all VMs") {
  CrashFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  deployment.SetWorkerFaults({{"restart_after_ms", 300}});
  const std::string crashing_body = std::string("stock list ") + kCrashMarker;

  // The caller repeats the request at one VM after the other.
  std::set<std::string> request_ids;
  for (int round = 0; round < 4; ++round) {
    for (int vm = 0; vm < kVms; ++vm) {
      const CallResponse response = fixture.Call(vm, "katalog/stock", crashing_body);
      CAPTURE(round, vm, response.status, response.code);
      // A worker that is still restarting may refuse the connection.
      CHECK((response.outcome == "unknown" || response.code == "quarantined" ||
             response.code == "no_worker"));
      request_ids.insert(RequestIdOf(response));
    }
  }
  const int lost = fixture.CountExecutions(request_ids);
  std::cout << "workers lost to one request: " << lost << " (bound " << kMaxLostWorkers << ")"
            << std::endl;
  CHECK(lost >= 1);
  CHECK(lost <= kMaxLostWorkers);

  CHECK(deployment.WaitUntil([&] {
    for (int vm = 0; vm < kVms; ++vm) {
      if (fixture.Call(vm, "katalog/stock", crashing_body).code != "quarantined") {
        return false;
      }
    }
    return true;
  }));
  // Requests with another body on the same route are still served.
  for (int vm = 0; vm < kVms; ++vm) {
    CAPTURE(vm);
    // A worker that is still restarting may refuse the connection, hence the repetition.
    CHECK(deployment.WaitUntil([&] {
      const CallResponse other = fixture.Call(vm, "katalog/stock", "stock list of the others");
      CHECK(other.code != "quarantined");
      return other.status == 200;
    }));
    CHECK(fixture.Call(vm, "katalog/stock", crashing_body).code == "quarantined");
  }
  CHECK(fixture.CountExecutions(request_ids) == lost);
}

// Guards against a quarantine of requests that were only in progress when their worker crashed for
// another reason.
TEST_CASE("Requests in progress at a worker that crashes for another reason are not quarantined") {
  CrashFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  deployment.SetWorkerFaults({{"restart_after_ms", 300}});
  constexpr int kUnrelatedRequests = 6;
  std::vector<CallResponse> responses;
  for (int i = 0; i < kUnrelatedRequests; ++i) {
    deployment.SendAsync(
        deployment.Callers(i % kVms),
        TestDeployment::MakeCall("semarang", "GET", "panduan/" + std::to_string(i), "guide"),
        [&](CallResponse response) { responses.push_back(std::move(response)); });
  }
  std::string crashed;
  REQUIRE(deployment.WaitUntil([&] {
    for (const json& state : deployment.WorkerStates()) {
      if (state["service"] == "panduan" && state["running"].get<int>() >= 1) {
        crashed = state["name"];
      }
    }
    return !crashed.empty();
  }));
  deployment.SetWorkerFaults({{"worker", crashed}, {"crash", true}, {"restart_after_ms", 300}});
  REQUIRE(deployment.WaitUntil([&] { return responses.size() == kUnrelatedRequests; }));
  for (int i = 0; i < kUnrelatedRequests; ++i) {
    for (int vm = 0; vm < kVms; ++vm) {
      const CallResponse again = fixture.Call(vm, "panduan/" + std::to_string(i), "guide");
      CAPTURE(i, vm, again.status, again.code);
      CHECK(again.status == 200);
    }
  }
}

}  // namespace
}  // namespace qh::test
