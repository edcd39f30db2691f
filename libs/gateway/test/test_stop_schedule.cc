#include <catch2/catch.hpp>

#include "../src/stop_schedule.h"

namespace qh::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against last responses that a planned stop sends too late, or together with its end,
// because the steps are checked at an interval that does not depend on the grace.
SCENARIO("The steps of a planned stop are due at fractions of any grace") {
  for (const Duration grace : {Duration(200ms), Duration(1s), Duration(6s), Duration(60s)}) {
    CAPTURE(grace.count());
    const StopSchedule schedule(grace);
    Duration elapsed{0};
    std::vector<StopStep> steps{schedule.StepAt(elapsed)};
    std::vector<Duration> started_at{elapsed};
    while (const auto wait = schedule.TimeUntilNextStep(elapsed)) {
      REQUIRE(*wait > Duration(0));
      // Timers fire in whole milliseconds, never early.
      elapsed += std::chrono::ceil<std::chrono::milliseconds>(*wait);
      steps.push_back(schedule.StepAt(elapsed));
      started_at.push_back(elapsed);
    }
    REQUIRE(steps == std::vector<StopStep>{StopStep::kAccepting, StopStep::kFinishing,
                                           StopStep::kResponding, StopStep::kOver});
    THEN("the process ends after the last responses and before the grace is over") {
      CHECK(started_at[3] > started_at[2]);
      CHECK(started_at[3] < grace);
    }
    THEN("requests in progress keep most of the time") { CHECK(started_at[2] >= grace * 9 / 10); }
    THEN("new requests are accepted until callers have other addresses") {
      CHECK(started_at[1] >= grace * 4 / 10);
      CHECK(started_at[1] < grace / 2);
    }
  }
}

}  // namespace
}  // namespace qh::gateway
