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
/** Stated bound: two workers, and one for each VM that runs it before the notice arrives. */
constexpr int kLossBound = 2 + kVms;
constexpr const char* kCrashMarker = "qh-crash-worker";

class CrashStory {
 public:
  CrashStory() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  CallAnswer Call(int vm, const std::string& path, const std::string& body) {
    return m_deployment.Send(m_deployment.Callers(vm),
                             TestDeployment::MakeCall("semarang", "GET", path, body));
  }

  /** Returns how often a worker started to run one of the requests. */
  int RunsOf(const std::set<std::string>& request_ids) {
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

std::string RequestIdOf(const CallAnswer& answer) {
  return std::string(http::FindHeader(answer.headers, "x-qh-request-id").value_or(""));
}

TEST_CASE("A request that crashes workers is quarantined at all VMs") {
  CrashStory story;
  TestDeployment& deployment = story.Deployment();
  deployment.SetWorkerFaults({{"restart_after_ms", 300}});
  const std::string deadly = std::string("stock list ") + kCrashMarker;

  // Guards against a caller that sends the request again to one VM after the other.
  std::set<std::string> request_ids;
  for (int round = 0; round < 4; ++round) {
    for (int vm = 0; vm < kVms; ++vm) {
      const CallAnswer answer = story.Call(vm, "katalog/stock", deadly);
      CAPTURE(round, vm, answer.status, answer.code);
      // A worker that is still restarting may refuse the connection.
      CHECK((answer.outcome == "unknown" || answer.code == "quarantined" ||
             answer.code == "no_worker"));
      request_ids.insert(RequestIdOf(answer));
    }
  }
  const int lost = story.RunsOf(request_ids);
  std::cout << "workers lost to one request: " << lost << " (bound " << kLossBound << ")"
            << std::endl;
  CHECK(lost >= 1);
  CHECK(lost <= kLossBound);

  CHECK(deployment.Until([&] {
    for (int vm = 0; vm < kVms; ++vm) {
      if (story.Call(vm, "katalog/stock", deadly).code != "quarantined") {
        return false;
      }
    }
    return true;
  }));
  // Guards against a quarantine that refuses more than the one request.
  for (int vm = 0; vm < kVms; ++vm) {
    CAPTURE(vm);
    // A worker that is still restarting may refuse the connection; a quarantine would last.
    CHECK(deployment.Until([&] {
      const CallAnswer other = story.Call(vm, "katalog/stock", "stock list of the others");
      CHECK(other.code != "quarantined");
      return other.status == 200;
    }));
    CHECK(story.Call(vm, "katalog/stock", deadly).code == "quarantined");
  }
  CHECK(story.RunsOf(request_ids) == lost);
}

TEST_CASE("A worker that crashes for another cause does not blame the requests it ran") {
  CrashStory story;
  TestDeployment& deployment = story.Deployment();
  deployment.SetWorkerFaults({{"restart_after_ms", 300}});
  constexpr int kInnocent = 6;
  std::vector<CallAnswer> answers;
  for (int i = 0; i < kInnocent; ++i) {
    deployment.SendLater(
        deployment.Callers(i % kVms),
        TestDeployment::MakeCall("semarang", "GET", "panduan/" + std::to_string(i), "guide"),
        [&](CallAnswer answer) { answers.push_back(std::move(answer)); });
  }
  std::string crashed;
  REQUIRE(deployment.Until([&] {
    for (const json& state : deployment.WorkerStates()) {
      if (state["service"] == "panduan" && state["running"].get<int>() >= 1) {
        crashed = state["name"];
      }
    }
    return !crashed.empty();
  }));
  deployment.SetWorkerFaults({{"worker", crashed}, {"crash", true}, {"restart_after_ms", 300}});
  REQUIRE(deployment.Until([&] { return answers.size() == kInnocent; }));
  for (int i = 0; i < kInnocent; ++i) {
    for (int vm = 0; vm < kVms; ++vm) {
      const CallAnswer again = story.Call(vm, "panduan/" + std::to_string(i), "guide");
      CAPTURE(i, vm, again.status, again.code);
      CHECK(again.status == 200);
    }
  }
}

}  // namespace
}  // namespace qh::test
