#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>

#include "open_loop.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr int kVms = 3;
constexpr int kRate = 150;
constexpr int kBurst = 15;
constexpr double kAboveRate = 250;

class LimitStory {
 public:
  LimitStory()
      : m_deployment(Options()), m_load(m_deployment, kVms, [this] { return NextCall(); }) {
    m_deployment.StartAndServe("semarang");
    json contract = m_deployment.ContractFor("semarang");
    contract["limits"]["requests_per_second"] = kRate;
    contract["limits"]["burst"] = kBurst;
    // No second attempts: each start at a worker is one accepted request.
    contract["limits"]["retry_share"] = 0;
    REQUIRE(m_deployment.PutContract(0, contract, "limits").status == 200);
    REQUIRE(m_deployment.Until([this] {
      for (int vm = 0; vm < kVms; ++vm) {
        if (m_deployment.EntryMetric(vm, "qh_contract_revision") < 2) {
          return false;
        }
      }
      return true;
    }));
  }

  TestDeployment& Deployment() noexcept { return m_deployment; }
  OpenLoop& Load() noexcept { return m_load; }

  /** Returns the number of requests that workers have started. */
  double Started() {
    double started = 0;
    for (const json& state : m_deployment.WorkerStates()) {
      started += state["started"].get<double>();
    }
    return started;
  }

  /** Runs `phase` under load; the starts at workers must stay within the contract. */
  template <typename Phase>
  void StaysWithinContract(const char* name, const Phase& phase) {
    const double before = Started();
    // Read before and after the counts, so that the time covers all starts that are counted.
    const TimePoint begin = m_counted;
    phase();
    const double accepted = Started() - before;
    const double bound = kRate * Seconds(m_deployment.Loop().Now() - begin).count() + kBurst;
    m_counted = m_deployment.Loop().Now();
    std::cout << name << ": accepted " << accepted << ", bound " << bound << std::endl;
    CAPTURE(name);
    CHECK(accepted <= bound);
    CHECK(accepted > 0);
  }

  void MarkTime() { m_counted = m_deployment.Loop().Now(); }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.subnet = 74;
    options.vms = kVms;
    options.services = {{"katalog", 4, 2}};
    return options;
  }

  http::HttpRequest NextCall() {
    return TestDeployment::MakeCall("semarang", "GET", "katalog/price/" + std::to_string(++m_calls),
                                    "");
  }

  TestDeployment m_deployment;
  OpenLoop m_load;
  TimePoint m_counted;
  int m_calls = 0;
};

TEST_CASE("A customer's accepted rate over all VMs stays within its contract") {
  LimitStory story;
  TestDeployment& deployment = story.Deployment();
  OpenLoop& load = story.Load();

  // Guards against a share that stays with the VM that owns it: a customer on one VM alone
  // reaches its full rate by loans. Windows of one second are looked at until one is full.
  load.SetRates({kAboveRate, 0, 0});
  const TimePoint alone = deployment.Loop().Now();
  double best = 0;
  const bool full = deployment.Until([&] {
    const double before = story.Started();
    const TimePoint begin = deployment.Loop().Now();
    deployment.RunFor(milliseconds(500));
    const double started = story.Started() - before;
    best = std::max(best, started / Seconds(deployment.Loop().Now() - begin).count());
    return best >= 0.9 * kRate;
  });
  std::cout << "one VM alone: " << best << " requests a second of " << kRate << " after "
            << std::chrono::duration_cast<milliseconds>(deployment.Loop().Now() - alone).count()
            << " ms (target 2000 ms and the window of 500 ms)" << std::endl;
  CHECK(full);

  // Guards against a rate that is used by its lender and its borrower at the same time.
  story.MarkTime();
  story.StaysWithinContract("loans held while all VMs are under load", [&] {
    load.SetRates({kAboveRate, kAboveRate, kAboveRate});
    deployment.RunFor(milliseconds(2500));
  });

  struct Case {
    const char* name;
    int vm;
    std::function<void()> fault;
    std::function<void()> end;
  };
  const std::vector<Case> cases{
      {"an entry dies and comes back", 1, [&] { deployment.Entry(1).Signal(SIGKILL); },
       [&] { deployment.StartEntry(1); }},
      {"an entry is paused across the end of its loans", 2,
       [&] { deployment.Entry(2).Signal(SIGSTOP); }, [&] { deployment.Entry(2).Signal(SIGCONT); }},
      {"a control process dies and comes back", 0, [&] { deployment.Control(0).Signal(SIGKILL); },
       [&] { deployment.StartControl(0); }},
  };
  for (const Case& row : cases) {
    // The VM borrows, then the fault begins, and the lenders are under load when it ends.
    std::vector<double> rates(kVms, 0);
    rates[row.vm] = kAboveRate;
    load.SetRates(rates);
    deployment.RunFor(milliseconds(1500));
    row.fault();
    rates.assign(kVms, kAboveRate);
    rates[row.vm] = 0;
    load.SetRates(rates);
    deployment.RunFor(milliseconds(2500));
    story.MarkTime();
    story.StaysWithinContract(row.name, [&] {
      row.end();
      load.SetRates(std::vector<double>(kVms, kAboveRate));
      deployment.RunFor(milliseconds(1500));
    });
  }
  CHECK(load.Drain());
}

}  // namespace
}  // namespace qh::test
