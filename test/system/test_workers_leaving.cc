#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "test_deployment.h"

namespace qh::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kVms = 3;
constexpr int kWorkers = 4;
/** Number of calls to one VM after which each worker of its zone has been chosen. */
constexpr int kCallsToReachAll = 80;
/** Longer than the time after which the state "live" in the VM list may end a leave. */
constexpr milliseconds kListReturnDelay{10000};

class WorkerLeaveFixture {
 public:
  WorkerLeaveFixture() : m_deployment(Options()) {
    m_deployment.StartAndServe("semarang");
    // Routes without latency samples may use only part of each worker's capacity; these calls
    // provide the samples.
    for (int vm = 0; vm < kVms; ++vm) {
      SendCalls(vm, kCallsToReachAll);
    }
  }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  /** Sends calls one after the other; all must succeed. */
  void SendCalls(int vm, int count) {
    for (int i = 0; i < count; ++i) {
      const CallResponse response = m_deployment.Send(
          m_deployment.Callers(vm),
          TestDeployment::MakeCall("semarang", "GET", "katalog/price/" + std::to_string(i), ""));
      CAPTURE(vm, response.status, response.code, response.failure);
      REQUIRE(response.status == 200);
    }
  }

  json FetchState(const std::string& worker) {
    for (const json& state : m_deployment.WorkerStates()) {
      if (state["name"] == worker) {
        return state;
      }
    }
    return {};
  }

  int CountStarted(const std::string& worker) {
    return FetchState(worker).at("started").get<int>();
  }

  /** Returns whether the timeline of `vm` says that `worker` is leaving. */
  bool HasLeaveEvent(int vm, const std::string& worker) {
    return m_deployment.WorkerEvents(vm, worker).dump().find("leaving by") != std::string::npos;
  }

  /**
   * Waits until the timelines of all VMs say that `worker` is leaving; prints the time since
   * `start`.
   */
  bool WaitForLeaveAtAllVms(const char* what, const std::string& worker, TimePoint start) {
    const bool noted = m_deployment.WaitUntil([&] {
      for (int vm = 0; vm < kVms; ++vm) {
        if (!HasLeaveEvent(vm, worker)) {
          return false;
        }
      }
      return true;
    });
    const auto took =
        std::chrono::duration_cast<milliseconds>(m_deployment.Loop().Now() - start).count();
    std::cout << what << ": noted by all VMs " << took << " ms after the first signal (target 3000)"
              << std::endl;
    return noted;
  }

  /** Sends calls to all VMs for `duration`; none may start at `worker`. */
  void CheckReceivesNoCalls(const std::string& worker, milliseconds duration) {
    const int started = CountStarted(worker);
    const TimePoint end = m_deployment.Loop().Now() + duration;
    do {
      for (int vm = 0; vm < kVms; ++vm) {
        SendCalls(vm, kCallsToReachAll / 4);
      }
      m_deployment.RunFor(milliseconds(50));
    } while (m_deployment.Loop().Now() < end);
    CAPTURE(worker);
    CHECK(CountStarted(worker) == started);
  }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.subnet = 71;
    options.vms = kVms;
    options.services = {{"katalog", kWorkers, 2}};
    return options;
  }

  TestDeployment m_deployment;
};

// Guards against calls to a worker that any one source says is leaving (its response header, its
// health endpoint or the platform's VM list) while the other sources do not.
TEST_CASE("A leaving worker gets no new calls after the first signal") {
  WorkerLeaveFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  // The VM list is frozen: from here on it says "live" for every worker.
  deployment.SetPlatformFaults({{"frozen_vm_list", true}});

  // Guards against a signal that one VM does not pass on: only VM 0 receives the response header,
  // because its calls prefer a worker of its zone; the health endpoint says "live".
  const std::string by_header = "katalog-0";
  deployment.SetWorkerFaults({{"worker", by_header}, {"drain", true}, {"wrong_health", true}});
  const int before = fixture.CountStarted(by_header);
  const double hedges_before = deployment.EntryMetric(0, "qh_hedges_total");
  TimePoint first_signal = deployment.Loop().Now();
  // A worker that was slow once is not chosen until its latency sample expires after some seconds.
  REQUIRE(deployment.WaitUntil([&] {
    first_signal = deployment.Loop().Now();
    fixture.SendCalls(0, 1);
    return fixture.HasLeaveEvent(0, by_header);
  }));
  // The first response that VM 0 reads is the first signal. A hedged request that loses is
  // cancelled before its response is read, so it counts as a start without a signal.
  const int started = fixture.CountStarted(by_header);
  const double hedges = deployment.EntryMetric(0, "qh_hedges_total") - hedges_before;
  std::cout << "starts up to the first signal " << started - before << ", hedges " << hedges
            << std::endl;
  CHECK(started > before);
  CHECK(started - before - 1 <= hedges);
  REQUIRE(fixture.WaitForLeaveAtAllVms("response header at one VM", by_header, first_signal));
  fixture.CheckReceivesNoCalls(by_header, milliseconds(2000));
  CHECK(fixture.CountStarted(by_header) == started);
  std::cout << "last start at " << by_header << " "
            << fixture.FetchState(by_header)["last_start_after_drain_ms"] << " ms after drain began"
            << std::endl;

  // Guards against the frozen list ending the leave: the health endpoint still says "draining" when
  // the state "live" in the list may count again.
  deployment.SetWorkerFaults({{"worker", by_header}, {"wrong_health", false}});
  fixture.CheckReceivesNoCalls(by_header, kListReturnDelay + milliseconds(3000));

  // Guards against a leave that is missed at an idle worker: it gets no calls, so that its health
  // endpoint is the only signal.
  const std::string by_health = "katalog-3";
  const TimePoint idle = deployment.Loop().Now();
  deployment.SetWorkerFaults({{"worker", by_health}, {"drain", true}});
  const int idle_started = fixture.CountStarted(by_health);
  REQUIRE(fixture.WaitForLeaveAtAllVms("health endpoint of an idle worker", by_health, idle));
  fixture.CheckReceivesNoCalls(by_health, milliseconds(500));
  CHECK(fixture.CountStarted(by_health) == idle_started);

  // Guards against a leave in the VM list that is ignored because neither the response header nor
  // the health endpoint of the worker signals it.
  const std::string by_list = "katalog-2";
  deployment.SetPlatformFaults({{"frozen_vm_list", false}});
  const TimePoint listed = deployment.Loop().Now();
  deployment.ChangeVmList({{"state", {{by_list, "leaving"}}}});
  REQUIRE(fixture.WaitForLeaveAtAllVms("list", by_list, listed));
  fixture.CheckReceivesNoCalls(by_list, milliseconds(1000));
}

}  // namespace
}  // namespace qh::test
