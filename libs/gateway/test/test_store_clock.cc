#include <catch2/catch.hpp>

#include "quetzalhinge/gateway/store_clock.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {

/** When the store's clock started, in local time. */
constexpr TimePoint kZero = TimePoint(1h);

}  // namespace

SCENARIO("A VM learns when the store made a response") {
  StoreClock clock;
  CHECK_FALSE(clock.LocalTimeOf(10s).has_value());

  GIVEN("a response that took 4 ms") {
    clock.OnResponse(10s, kZero + 9998ms, kZero + 10002ms);
    THEN("other readings are known to a few milliseconds, and never too late") {
      CHECK(*clock.LocalTimeOf(20s) <= kZero + 20s);
      CHECK(*clock.LocalTimeOf(20s) >= kZero + 20s - 4ms);
    }
    WHEN("a response was under way for a second") {
      clock.OnResponse(20s, kZero + 19s, kZero + 21s);
      THEN("it counts from when the store made it") {
        CHECK(*clock.LocalTimeOf(20s) <= kZero + 20s);
        CHECK(*clock.LocalTimeOf(20s) >= kZero + 20s - 4ms);
      }
    }
    WHEN("the VM is suspended for 5 s, which its clock does not count") {
      clock.OnResponse(20s, kZero + 14998ms, kZero + 15002ms);
      THEN("earlier bounds are dropped") {
        CHECK(*clock.LocalTimeOf(21s) <= kZero + 16s);
        CHECK(*clock.LocalTimeOf(21s) >= kZero + 16s - 4ms);
      }
    }
    WHEN("the store's clock starts again") {
      clock.OnResponse(1s, kZero + 30998ms, kZero + 31002ms);
      THEN("readings are those of the new clock") {
        CHECK(*clock.LocalTimeOf(2s) <= kZero + 32s);
        CHECK(*clock.LocalTimeOf(2s) >= kZero + 32s - 4ms);
      }
    }
  }
  GIVEN("only a response that took a second") {
    clock.OnResponse(10s, kZero + 9s, kZero + 10s);
    THEN("readings convert to a time that is too early, and never to one that is too late") {
      CHECK(*clock.LocalTimeOf(20s) <= kZero + 20s);
      CHECK(*clock.LocalTimeOf(20s) >= kZero + 19s - 1ms);
    }
  }
}

}  // namespace qh::gateway
