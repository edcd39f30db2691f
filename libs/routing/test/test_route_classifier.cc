#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/routing/route_classifier.h"

namespace qh::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{seconds(1000)};
const Route kStock{"gudang", "GET", "/stock/*"};
const Route kLedger{"gudang", "GET", "/ledger"};

TEST_CASE("A path template replaces the segments that vary between calls of a route") {
  CHECK(PathTemplate("/v1/stock/4711?unit=m") == "/v1/stock/*");
  CHECK(PathTemplate("/") == "/");
  CHECK(PathTemplate("") == "");
  CHECK(PathTemplate("/a/9f3c2d/b/") == "/a/*/b/");
  CHECK(PathTemplate("/" + std::string(40, 'x')) == "/*");
  CHECK(PathTemplate("/a/b/c/d/e/f/g/h/i/j/k") == "/a/b/c/d/e/f/g/h/*");
  CHECK(RouteOf("s", std::string(100, 'M'), "/").method.size() == 16);
}

TEST_CASE("Routes are classified by the ratio of their median to the service's median") {
  RouteClassifier classifier;
  const auto record = [&](const Route& route, int count, Duration latency, TimePoint at) {
    for (int i = 0; i < count; ++i) {
      classifier.Record(route, latency, at);
    }
  };
  SECTION("a route is unknown until 20 samples") {
    record(kStock, 19, milliseconds(4), kNow);
    CHECK(classifier.ProfileOf(kStock).work_class == WorkClass::kUnknown);
    record(kStock, 1, milliseconds(4), kNow);
    CHECK(classifier.ProfileOf(kStock).work_class == WorkClass::kShort);
    CHECK(classifier.ProfileOf(kStock).median >= milliseconds(4));
    CHECK(classifier.ProfileOf(kStock).median <= std::chrono::microseconds(4500));
  }
  SECTION("unknown routes do not count as long work in the reserved share") {
    // Guards against reserved slots in a service that has no long work.
    record(kStock, 300, milliseconds(4), kNow);
    record(kLedger, 19, milliseconds(200), kNow);
    CHECK(classifier.ReservedShare("gudang", kNow) == 0);
  }
  SECTION("with a stock check of 4 ms and a ledger query of 200 ms") {
    record(kStock, 300, milliseconds(4), kNow);
    record(kLedger, 30, milliseconds(200), kNow);
    CHECK(classifier.ProfileOf(kStock).work_class == WorkClass::kShort);
    CHECK(classifier.ProfileOf(kLedger).work_class == WorkClass::kLong);
    SECTION("the reserved share follows the share of short work and ends with it") {
      const double reserve = classifier.ReservedShare("gudang", kNow);
      CHECK(reserve >= 0.15);
      CHECK(reserve < 0.5);
      record(kStock, 3000, milliseconds(4), kNow);
      CHECK(classifier.ReservedShare("gudang", kNow) > reserve);
      CHECK(classifier.ReservedShare("gudang", kNow + seconds(600)) == 0);
      CHECK(classifier.ReservedShare("other", kNow) == 0);
    }
    SECTION("a long route at 3 times the median stays long, at the median it becomes short") {
      record(kStock, 2000, milliseconds(4), kNow + seconds(300));
      record(kLedger, 100, milliseconds(12), kNow + seconds(300));
      CHECK(classifier.ProfileOf(kLedger).work_class == WorkClass::kLong);
      record(kLedger, 300, milliseconds(4), kNow + seconds(600));
      CHECK(classifier.ProfileOf(kLedger).work_class == WorkClass::kShort);
    }
  }
  SECTION("a short route at 3 times the median stays short") {
    record(kStock, 1000, milliseconds(4), kNow);
    record(kLedger, 100, milliseconds(12), kNow);
    CHECK(classifier.ProfileOf(kLedger).work_class == WorkClass::kShort);
  }
}

TEST_CASE("Made-up paths neither increase memory use nor evict classified routes") {
  const bool holds = rc::check([] {
    RouteClassifier classifier;
    for (int i = 0; i < 20; ++i) {
      classifier.Record(kStock, milliseconds(4), kNow);
    }
    const auto paths = *rc::gen::container<std::vector<std::string>>(
        600, rc::gen::container<std::string>(8, rc::gen::inRange('a', 'z')));
    for (const std::string& path : paths) {
      classifier.Record({"gudang", "GET", path}, milliseconds(4), kNow);
      RC_ASSERT(classifier.RouteCount() <= 257);
    }
    RC_ASSERT(classifier.ProfileOf(kStock).work_class == WorkClass::kShort);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::routing
