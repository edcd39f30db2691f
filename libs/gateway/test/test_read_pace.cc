#include <catch2/catch.hpp>

#include "../src/read_pace.h"

namespace qh::gateway {

using namespace std::chrono_literals;

SCENARIO("Waits at the store follow each other at a bounded pace") {
  constexpr std::chrono::milliseconds kApplyWithin{2000};
  ReadPace pace(kApplyWithin);
  TimePoint now = TimePoint(1h);
  const Duration cycle = [&] {
    pace.OnEnded(now, now + pace.Wait());
    now += pace.Wait();
    return pace.NotBefore() + pace.Wait() - now;
  }();

  // A longer cycle would make VMs check the store although nothing has failed.
  THEN("the store is heard from well within the time in which a change must take effect") {
    CHECK(cycle <= kApplyWithin * 0.6);
  }
  WHEN("changes follow each other") {
    Duration last_pause{};
    for (int i = 0; i < 10; ++i) {
      const TimePoint started_at = pace.NotBefore();
      now = started_at + 1ms;
      pace.OnEnded(started_at, now);
      CHECK(pace.NotBefore() - now >= last_pause);
      CHECK(pace.NotBefore() - now + pace.Wait() <= cycle);
      CHECK(pace.Wait() > 0ms);
      last_pause = pace.NotBefore() - now;
    }
    THEN("one wait without a change ends the long pauses") {
      const TimePoint started_at = pace.NotBefore();
      pace.OnEnded(started_at, started_at + pace.Wait());
      CHECK(pace.NotBefore() - (started_at + pace.Wait()) < last_pause);
    }
  }
}

}  // namespace qh::gateway
