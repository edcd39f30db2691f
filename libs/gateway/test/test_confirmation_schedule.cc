#include <catch2/catch.hpp>

#include "quetzalhinge/gateway/confirmation_schedule.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kApplyWithin{2000};
const TimePoint kStart = TimePoint(1h);

/** Time from a request to the store until its response has been applied. */
constexpr Duration kResponseTime = 300ms;

ConfirmationSchedule MakeSchedule() {
  return ConfirmationSchedule(ConfirmationLimitsFor(kApplyWithin), kStart);
}

}  // namespace

// Guards against limits of single reads that are each short, but add up to more than the time
// within which a change must take effect.
SCENARIO("A change is known in time although all other reads have stopped") {
  ConfirmationSchedule schedule = MakeSchedule();
  const TimePoint last_confirmation = kStart + 10s;
  schedule.OnConfirmed(last_confirmation);
  // The latest moment at which the change can be missed by the last confirmation.
  const TimePoint changed_at = last_confirmation;

  WHEN("the store responds to the first check") {
    CHECK(schedule.NextCheck() + kResponseTime <= changed_at + kApplyWithin);
  }
  WHEN("the first check is lost") {
    const TimePoint first = schedule.NextCheck();
    schedule.OnCheckStarted(first);
    CHECK(schedule.NextCheck() > first);
    CHECK(schedule.NextCheck() + kResponseTime <= changed_at + kApplyWithin);
  }
}

SCENARIO("A VM asks the store again soon after an outage of any length") {
  const ConfirmationSchedule schedule = MakeSchedule();
  for (Duration outage = 0ms; outage <= 12s; outage += 7ms) {
    const TimePoint recovered_at = kStart + outage;
    ConfirmationSchedule during = schedule;
    while (during.NextCheck() < recovered_at) {
      during.OnCheckStarted(during.NextCheck());
    }
    CHECK(during.NextCheck() - recovered_at <= kApplyWithin - kResponseTime);
  }
}

SCENARIO("No check is made while other reads confirm the copy") {
  ConfirmationSchedule schedule = MakeSchedule();
  TimePoint now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += 1100ms;
    CHECK(schedule.NextCheck() > now);
    schedule.OnConfirmed(now);
  }
  THEN("an older confirmation, such as one of a peer that is behind, does not count") {
    const TimePoint due = schedule.NextCheck();
    schedule.OnConfirmed(now - 500ms);
    CHECK(schedule.NextCheck() == due);
  }
}

// Guards against a second check that many VMs make too late, because the time between all repeated
// checks grows with their number.
SCENARIO("A change is known in time at any number of VMs although the first check is lost") {
  for (const std::chrono::milliseconds apply_within : {2000ms, 2500ms}) {
    for (const std::size_t vm_count : {15U, 131U, 300U, 2600U}) {
      CAPTURE(apply_within.count(), vm_count);
      ConfirmationSchedule schedule(ConfirmationLimitsFor(apply_within), kStart);
      schedule.SetMinRetry(CheckIntervalFor(vm_count));
      schedule.OnCheckStarted(schedule.NextCheck());
      CHECK(schedule.NextCheck() + kResponseTime <= kStart + apply_within);
      AND_THEN("all VMs together make a limited number of further checks in a second") {
        const TimePoint second = schedule.NextCheck();
        schedule.OnCheckStarted(second);
        const std::chrono::duration<double> interval = schedule.NextCheck() - second;
        CHECK(2 * static_cast<double>(vm_count) / interval.count() <= 200.001);
      }
    }
  }
}

SCENARIO("Many VMs check less often during an outage") {
  ConfirmationSchedule schedule = MakeSchedule();
  schedule.SetMinRetry(4s);
  schedule.OnCheckStarted(schedule.NextCheck());
  const TimePoint second = schedule.NextCheck();
  schedule.OnCheckStarted(second);
  CHECK(schedule.NextCheck() == second + 4s);
  THEN("but the first check is not delayed") {
    schedule.OnConfirmed(second);
    CHECK(schedule.NextCheck() - second == MakeSchedule().NextCheck() - kStart);
  }
}

}  // namespace qh::gateway
