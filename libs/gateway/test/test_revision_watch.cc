#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "../src/revision_watch.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

/** Time from an announcement to the check of a table that is behind, and between two checks. */
constexpr std::chrono::milliseconds kCheckInterval{700};

/** A VM that cannot read anything: what it knows never changes. */
class StuckVm : public RevisionWatchObserver {
 public:
  std::uint64_t KnownRevision(const std::string& /*table*/) const override { return 1; }
  void OnTableBehind(const std::string& table) override { ++checks[table]; }

  std::map<std::string, int> checks;
};

}  // namespace

SCENARIO("A VM that stays behind checks the tables that are behind") {
  net::EventLoop loop;
  StuckVm vm;
  RevisionWatch watch(loop, {"configuration", "workers"}, vm);
  const TimePoint start = loop.Now();
  const auto run_for = [&](Duration time) {
    const TimePoint end = loop.Now() + time;
    while (loop.Now() < end) {
      loop.RunOnce(10ms);
    }
  };
  const auto run_until_checked = [&](const std::string& table, int count) {
    const TimePoint limit = loop.Now() + 20s;
    while (vm.checks[table] < count && loop.Now() < limit) {
      loop.RunOnce(10ms);
    }
    CHECK(vm.checks[table] >= count);
  };
  /** The checks that are due by now, one in each interval. */
  const auto max_checks = [&] { return static_cast<int>((loop.Now() - start) / kCheckInterval); };

  GIVEN("a table that is behind") {
    watch.OnTableRevision("configuration", 2);
    run_until_checked("configuration", 1);
    CHECK(vm.checks["workers"] == 0);

    // Guards against a timer that restarts without a pause, which occupied the processor.
    WHEN("the other table falls behind") {
      watch.OnTableRevision("workers", 3);
      run_for(400ms);
      THEN("the first one is not checked all the time") {
        CHECK(vm.checks["configuration"] <= max_checks());
      }
    }
    WHEN("further changes are announced in quick succession") {
      for (std::uint64_t revision = 3; revision < 23; ++revision) {
        watch.OnTableRevision("configuration", revision);
        run_for(10ms);
      }
      THEN("they do not lead to a check each") {
        CHECK(vm.checks["configuration"] <= max_checks());
      }
    }
    WHEN("nothing more is announced") {
      THEN("it is checked again") { run_until_checked("configuration", 3); }
    }
  }
  GIVEN("a VM that knows a change without saying of which table") {
    watch.OnVmRevision(2);
    THEN("both tables are checked") {
      run_until_checked("configuration", 1);
      run_until_checked("workers", 1);
    }
  }
}

}  // namespace qh::gateway
