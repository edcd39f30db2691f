#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/dispatch/worker_limits.h"

namespace qh::dispatch {

using namespace std::chrono_literals;

namespace {

const TimePoint kStart = TimePoint(1h);

/** The platform's rule: in any 4 s at most 1.5 times the limit, and 5 requests more. */
constexpr std::chrono::seconds kWindow{4};
double MaxInWindow(double limit_per_s) {
  return 1.5 * limit_per_s * static_cast<double>(kWindow.count()) + 5;
}

/** VMs that send one worker as many requests as they may. */
class Fleet {
 public:
  Fleet(std::size_t vm_count, double limit_per_s) {
    for (std::size_t i = 0; i < vm_count; ++i) {
      m_names.push_back("front-" + std::to_string(i));
      m_vms.push_back(std::make_unique<WorkerLimits>());
      m_vms.back()->OnStated("worker", limit_per_s, m_now);
    }
    for (std::size_t i = 0; i < vm_count; ++i) {
      SetView(i, m_names);
    }
  }

  WorkerLimits& Vm(std::size_t i) { return *m_vms[i]; }
  TimePoint Now() const { return m_now; }
  const std::vector<std::string>& Names() const { return m_names; }

  void SetView(std::size_t vm, std::vector<std::string> live) {
    std::erase(live, m_names[vm]);
    m_vms[vm]->SetVms(m_names[vm], live, m_now);
  }

  /** Lets time pass without demand. */
  void Idle(Duration time) { m_now += time; }

  /** Sends for `time` and returns the most requests in any window. */
  std::size_t Send(Duration time) {
    std::size_t most = 0;
    for (const TimePoint end = m_now + time; m_now < end; m_now += 10ms) {
      for (const auto& vm : m_vms) {
        while (vm->MaySend("worker", m_now)) {
          vm->OnSent("worker", m_now);
          m_sent.push_back(m_now);
          ++m_total;
        }
      }
      while (!m_sent.empty() && m_sent.front() <= m_now - kWindow) {
        m_sent.pop_front();
      }
      most = std::max(most, m_sent.size());
    }
    return most;
  }

  std::size_t Total() const { return m_total; }

 private:
  std::vector<std::string> m_names;
  std::vector<std::unique_ptr<WorkerLimits>> m_vms;
  TimePoint m_now = kStart;
  std::deque<TimePoint> m_sent;
  std::size_t m_total = 0;
};

}  // namespace

// Guards against VMs that each take a worker's limit for their own.
SCENARIO("All VMs together keep a worker's limit") {
  for (const std::size_t vm_count : {1U, 2U, 15U, 131U}) {
    for (const double limit_per_s : {0.0, 0.3, 1.0, 3.5, 7.0, 20.0, 300.0}) {
      CAPTURE(vm_count, limit_per_s);
      Fleet fleet(vm_count, limit_per_s);
      WHEN("demand is always above it") {
        CHECK(fleet.Send(30s) <= MaxInWindow(limit_per_s));
        THEN("and most of it is used") { CHECK(fleet.Total() >= limit_per_s * 30 * 0.9 - 1); }
      }
      WHEN("demand rises suddenly after a pause") {
        fleet.Idle(60s);
        CHECK(fleet.Send(10s) <= MaxInWindow(limit_per_s));
      }
      WHEN("VMs know different parts of the fleet") {
        RandomGenerator random{20261205};
        std::size_t most = 0;
        for (int round = 0; round < 10; ++round) {
          for (std::size_t vm = 0; vm < vm_count; ++vm) {
            std::vector<std::string> live = fleet.Names();
            std::erase_if(live, [&](const auto&) { return random() % 20 == 0; });
            fleet.SetView(vm, live);
          }
          most = std::max(most, fleet.Send(1s));
        }
        CHECK(most <= MaxInWindow(limit_per_s));
      }
    }
  }
}

SCENARIO("A VM follows what a worker states about its limit") {
  WorkerLimits limits;
  limits.SetVms("vm", {}, kStart);
  CHECK(limits.MaySend("worker", kStart));

  GIVEN("a worker that has stated a limit") {
    CHECK(limits.OnStated("worker", 2.0, kStart));
    THEN("it gets the first request only after a part of a second") {
      const Duration until = limits.TimeUntilSend("worker", kStart).value_or(1h);
      CHECK(std::chrono::round<std::chrono::milliseconds>(until) == 500ms);
      CHECK_FALSE(limits.MaySend("worker", kStart));
      CHECK(limits.MaySend("worker", kStart + 500ms));
    }
    THEN("other workers are not limited") { CHECK(limits.MaySend("other", kStart)); }
    THEN("stating it again changes nothing") {
      CHECK_FALSE(limits.OnStated("worker", 2.0, kStart + 1s));
      CHECK(limits.MaySend("worker", kStart + 1s));
    }
    THEN("it has no limit any more when it states none, or has restarted") {
      SECTION("none") { CHECK(limits.OnStated("worker", std::nullopt, kStart)); }
      SECTION("restarted") { limits.Forget("worker"); }
      CHECK(limits.MaySend("worker", kStart));
    }
    THEN("it is probed if it has stated nothing for a while") {
      CHECK(limits.NotHeardSince(kStart).empty());
      CHECK(limits.NotHeardSince(kStart + 1s) == std::vector<std::string>{"worker"});
    }
  }
  // A process that has just started knows no other VM yet.
  GIVEN("a VM that does not know the other VMs") {
    WorkerLimits unsettled;
    unsettled.OnStated("worker", 5.0, kStart);
    CHECK_FALSE(unsettled.MaySend("worker", kStart + 10s));
    CHECK_FALSE(unsettled.TimeUntilSend("worker", kStart + 10s).has_value());
  }
}

}  // namespace qh::dispatch
