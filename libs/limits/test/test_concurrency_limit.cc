#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "quetzalhinge/limits/concurrency_limit.h"

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The limit follows the latency of the worker") {
  ConcurrencyLimit limit(ConcurrencyLimitOptions{});
  TimePoint now{seconds(10)};
  const auto respond = [&](int count, int latency_ms, std::uint32_t in_progress) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(5);
      limit.OnResponse(milliseconds(latency_ms), milliseconds(10), in_progress, now);
    }
  };
  REQUIRE(limit.Limit() == 4);

  SECTION("it grows to its maximum while it is utilized and latency is stable") {
    respond(200, 10, 14);
    CHECK(limit.Limit() == 14);
    SECTION("it shrinks to 1 when latency stays far above its baseline") {
      respond(200, 80, 14);
      CHECK(limit.Limit() == 1);
      SECTION("and grows again when the worker has recovered") {
        respond(400, 10, 14);
        CHECK(limit.Limit() == 14);
      }
    }
    SECTION("one slow response has little effect") {
      respond(1, 100, 14);
      respond(10, 10, 14);
      CHECK(limit.Limit() >= 11);
    }
    SECTION("a burst of failures counts once") {
      for (int i = 0; i < 10; ++i) {
        limit.OnOverload(now);
      }
      CHECK(limit.Limit() == 7);
      CHECK(limit.MayStart(6));
      CHECK_FALSE(limit.MayStart(7));
    }
  }
  SECTION(
      "normal variance of service times, with stragglers, is not mistaken for a slower worker") {
    // Guards against a limit that falls to 1 at a worker with few requests, because each sample
    // makes up nearly all of the recent average.
    std::mt19937_64 generator(20261204);
    std::lognormal_distribution<double> service_ms(std::log(10.0), 0.4);
    std::uint32_t lowest = 14;
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(60);
      const double latency_ms = i % 200 == 199 ? 300 : service_ms(generator);
      limit.OnResponse(std::chrono::microseconds(static_cast<int>(latency_ms * 1000)),
                       milliseconds(10), limit.Limit(), now);
      if (i > 100) {
        lowest = std::min(lowest, limit.Limit());
      }
    }
    CHECK(lowest >= 7);
  }
  SECTION("it does not grow while it is not utilized") {
    respond(200, 10, 1);
    CHECK(limit.Limit() == 4);
  }
}

TEST_CASE("The limit stays between 1 and its maximum for any sequence of reports") {
  const bool holds = rc::check([](const std::vector<std::pair<int, int>>& samples) {
    ConcurrencyLimit limit(ConcurrencyLimitOptions{14, 100, 1.5});
    TimePoint now{seconds(10)};
    for (const auto& [latency, gap] : samples) {
      now += milliseconds(gap % 1000);
      limit.OnResponse(milliseconds(latency), milliseconds(gap), 14, now);
      if (latency % 5 == 0) {
        limit.OnOverload(now);
      }
      RC_ASSERT(limit.Limit() >= 1U);
      RC_ASSERT(limit.Limit() <= 14U);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::limits
