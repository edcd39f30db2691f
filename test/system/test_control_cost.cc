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
/** Budget of a daemon for control. */
constexpr double kBytesPerSecond = 11'000;
constexpr double kCoreShare = 0.016;
/** A busy machine makes the same work dearer. */
constexpr double kCoreShareLimit = 0.1;
/** Default of [probes] budget: a second and worker, over all VMs. */
constexpr double kProbesPerSecond = 1;

struct Cost {
  double bytes = 0;
  double core_seconds = 0;
  double probes = 0;
};

class CostStory {
 public:
  CostStory() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  /** Returns the sum of all series of a metric at `vm`'s qh-control. */
  double SumAtControl(int vm, const std::string& name) {
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

  Cost CostOf(int vm) {
    return {SumAtControl(vm, "qh_control_bytes_total"), SumAtControl(vm, "qh_process_cpu_seconds"),
            m_deployment.EntryMetric(vm, "qh_probes_total")};
  }

  /** Runs `phase` and checks the cost of each VM within it. */
  template <typename Phase>
  void StaysWithinBudget(const char* name, bool restarted, const Phase& phase) {
    std::vector<Cost> before(kVms);
    for (int vm = 0; vm < kVms && !restarted; ++vm) {
      before[vm] = CostOf(vm);
    }
    const TimePoint begin = m_deployment.Loop().Now();
    phase();
    double probes = 0;
    for (int vm = 0; vm < kVms; ++vm) {
      const Cost after = CostOf(vm);
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
    // One probe more for each VM and worker: the first may come at any time.
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

TEST_CASE("Measuring and control stay within their budget") {
  CostStory story;
  TestDeployment& deployment = story.Deployment();
  int number = 0;
  OpenLoop load(deployment, kVms, [&] {
    return TestDeployment::MakeCall("semarang", "GET",
                                    "katalog/price/" + std::to_string(++number % 50), "");
  });
  story.StaysWithinBudget("quiet", false, [&] { deployment.RunFor(milliseconds(3000)); });
  // Guards against cost that grows with the load: no message and no probe for each call.
  story.StaysWithinBudget("surge", false, [&] {
    load.SetRates({300, 300, 300, 300});
    deployment.RunFor(milliseconds(3000));
  });
  CHECK(load.Served() > 0);
  // Guards against all VMs asking for everything at once.
  story.StaysWithinBudget("mass restart", true, [&] {
    for (int vm = 0; vm < kVms; ++vm) {
      deployment.Entry(vm).Signal(SIGKILL);
      deployment.Control(vm).Signal(SIGKILL);
    }
    for (int vm = 0; vm < kVms; ++vm) {
      deployment.StartControl(vm);
      deployment.StartEntry(vm);
    }
    const int served = load.Served();
    CHECK(deployment.Until([&] { return load.Served() > served + 100; }));
    deployment.RunFor(milliseconds(2000));
  });
  CHECK(load.Drain());
}

}  // namespace
}  // namespace qh::test
