#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <sstream>
#include <string>

#include "open_loop.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr int kVms = 4;
constexpr int kWorkers = 4;
/** Budget of one qh-control process: network bytes per second and share of a CPU core. */
constexpr double kBytesPerSecond = 11'000;
constexpr double kCoreShare = 0.016;
/** Checked limit; above the budget, because the same work takes more CPU time on a busy machine. */
constexpr double kCoreShareLimit = 0.1;
/** Default of the setting [probes] budget: probes per second to each worker, over all VMs. */
constexpr double kProbesPerSecond = 1;

/** Counters of one VM since the start of its processes. */
struct Cost {
  double bytes = 0;
  double core_seconds = 0;
  double probes = 0;
};

class ControlCostFixture {
 public:
  ControlCostFixture() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  /** Returns the sum of all series of a metric at the qh-control of `vm`. */
  double SumControlMetric(int vm, const std::string& name) {
    std::istringstream text(
        m_deployment.Send(m_deployment.Operators(vm), {"GET", "/metrics", {}, ""}).body);
    double sum = 0;
    std::string line;
    while (std::getline(text, line)) {
      if (line.starts_with(name + "{")) {
        sum += std::stod(line.substr(line.rfind(' ')));
      }
    }
    return sum;
  }

  Cost ReadCost(int vm) {
    return {SumControlMetric(vm, "qh_control_bytes_total"),
            SumControlMetric(vm, "qh_process_cpu_seconds"),
            m_deployment.EntryMetric(vm, "qh_probes_total")};
  }

  /**
   * Runs `phase` and checks the cost that each VM has during it. `restarted`: the phase restarts
   * the processes, so that their counters start at 0.
   */
  template <typename Phase>
  void CheckBudget(const char* name, bool restarted, const Phase& phase) {
    std::vector<Cost> before(kVms);
    for (int vm = 0; vm < kVms && !restarted; ++vm) {
      before[vm] = ReadCost(vm);
    }
    const TimePoint begin = m_deployment.Loop().Now();
    phase();
    double probes = 0;
    for (int vm = 0; vm < kVms; ++vm) {
      const Cost after = ReadCost(vm);
      const double elapsed = Seconds(m_deployment.Loop().Now() - begin).count();
      const double bytes = (after.bytes - before[vm].bytes) / elapsed;
      const double share = (after.core_seconds - before[vm].core_seconds) / elapsed;
      probes += after.probes - before[vm].probes;
      std::cout << name << ", VM " << vm << ": " << bytes << " B/s (budget " << kBytesPerSecond
                << "), " << 100 * share << "% of a core (budget " << 100 * kCoreShare << "%)"
                << std::endl;
      CAPTURE(name, vm);
      CHECK(bytes > 0);
      CHECK(bytes <= kBytesPerSecond);
      CHECK(share <= kCoreShareLimit);
    }
    const double elapsed = Seconds(m_deployment.Loop().Now() - begin).count();
    std::cout << name << ": " << probes << " probes in " << elapsed << " s" << std::endl;
    // Each VM may send one more probe to each worker, as its first probe can be due at any time.
    CHECK(probes <= kWorkers * (kProbesPerSecond * elapsed + kVms));
  }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.subnet = 76;
    options.vms = kVms;
    options.services = {{"katalog", kWorkers, 2}};
    return options;
  }

  TestDeployment m_deployment;
};

// Guards against control traffic, CPU time and health probes that exceed their budget, at rest,
// under load and when all VMs restart.
TEST_CASE("Control traffic, CPU time and probes stay within their budget") {
  ControlCostFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  int number = 0;
  OpenLoop load(deployment, kVms, [&] {
    return TestDeployment::MakeCall("semarang", "GET",
                                    "katalog/price/" + std::to_string(++number % 50), "");
  });
  fixture.CheckBudget("quiet", false, [&] { deployment.RunFor(milliseconds(3000)); });
  // Guards against cost that grows with the load, such as a message or a probe for each call.
  fixture.CheckBudget("surge", false, [&] {
    load.SetRates({300, 300, 300, 300});
    deployment.RunFor(milliseconds(3000));
  });
  CHECK(load.Served() > 0);
  // Guards against a burst of requests for full state when all VMs restart together.
  fixture.CheckBudget("mass restart", true, [&] {
    for (int vm = 0; vm < kVms; ++vm) {
      deployment.Entry(vm).Signal(SIGKILL);
      deployment.Control(vm).Signal(SIGKILL);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      deployment.StartControl(vm);
      deployment.StartEntry(vm);
    }
    const int served = load.Served();
    CHECK(deployment.WaitUntil([&] { return load.Served() > served + 100; }));
    deployment.RunFor(milliseconds(2000));
  });
  CHECK(load.Drain());
}

}  // namespace
}  // namespace qh::test
