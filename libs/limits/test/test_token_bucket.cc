#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/limits/token_bucket.h"

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against surplus tokens after rate changes or when the clock stands still or goes back.
TEST_CASE("A bucket never issues more than its initial tokens and its rate allow") {
  const bool holds = rc::check([](const std::vector<std::pair<int, int>>& steps) {
    constexpr double kMaxRate = 100;
    constexpr double kMaxCapacity = 20;
    const TimePoint start{seconds(5)};
    TokenBucket bucket(kMaxRate, kMaxCapacity, kMaxCapacity, start);
    TimePoint latest = start;
    TimePoint now = start;
    double issued = 0;
    for (const auto& [move, choice] : steps) {
      now += milliseconds(move % 200);
      latest = std::max(latest, now);
      if (choice % 3 == 0) {
        bucket.SetRate(std::abs(choice % 100), std::abs(choice % 20), now);
      }
      issued += bucket.TryTake(1, now) ? 1 : 0;
      const double seconds_passed = std::chrono::duration<double>(latest - start).count();
      RC_ASSERT(issued <= kMaxCapacity + kMaxRate * seconds_passed + 1e-6);
    }
  });
  CHECK(holds);
}

TEST_CASE("A bucket reports when the next token is available") {
  const TimePoint now{seconds(5)};
  TokenBucket bucket(10, 2, 1, now);
  REQUIRE(bucket.TryTake(1, now));
  CHECK_FALSE(bucket.TryTake(1, now));
  const auto wait = bucket.TimeUntil(1, now);
  REQUIRE(wait.has_value());
  CHECK(*wait == milliseconds(100));
  CHECK_FALSE(bucket.TryTake(1, now + *wait - milliseconds(1)));
  CHECK(bucket.TryTake(1, now + *wait));

  SECTION("and that it never is above the capacity or at a rate of 0") {
    CHECK_FALSE(bucket.TimeUntil(3, now).has_value());
    bucket.SetRate(0, 2, now);
    CHECK_FALSE(bucket.TimeUntil(2, now).has_value());
  }
  SECTION("a smaller capacity removes tokens, a larger one adds none") {
    bucket.SetRate(10, 0.5, now + seconds(9));
    bucket.SetRate(10, 5, now + seconds(9));
    CHECK(bucket.Tokens(now + seconds(9)) == 0.5);
  }
}

}  // namespace
}  // namespace qh::limits
