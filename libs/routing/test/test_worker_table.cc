#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/routing/worker_table.h"

namespace qh::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UnixMicros kSecond = 1000000;
constexpr UnixMicros kStart = 1796378000 * kSecond;
const TimePoint kNow{seconds(1000)};

WorkerInfo MakeInfo(const std::string& id) { return {id, "katalog", {"127.0.2.1", 9000}, "jb", 6}; }

WorkerObservation MakeObservation(WorkerState state, ObservationSource source, UnixMicros stamp,
                                  const std::string& incarnation = "") {
  return {state, source, stamp, incarnation};
}

TEST_CASE("A leaving worker receives no work until its return is certain") {
  WorkerTable table({});
  REQUIRE(table.Upsert(MakeInfo("w1"),
                       MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart, "a"),
                       kNow));
  REQUIRE(table.Candidates("katalog").size() == 1);

  SECTION("the first leave takes effect from every source, even if its clock is behind") {
    const auto source = GENERATE(ObservationSource::kVmList, ObservationSource::kResponseHeader,
                                 ObservationSource::kHealthEndpoint, ObservationSource::kNotice);
    CHECK(
        table.Apply("w1", MakeObservation(WorkerState::kLeaving, source, kStart - kSecond), kNow));
    CHECK(table.Candidates("katalog").empty());
    CHECK_FALSE(table.Started("w1", WorkClass::kShort));
  }
  SECTION("while it is leaving") {
    const UnixMicros left = kStart + 60 * kSecond;
    REQUIRE(table.Apply(
        "w1", MakeObservation(WorkerState::kLeaving, ObservationSource::kResponseHeader, left, "a"),
        kNow));
    SECTION("the health endpoint of the same incarnation does not make it live") {
      CHECK_FALSE(
          table.Apply("w1",
                      MakeObservation(WorkerState::kLive, ObservationSource::kHealthEndpoint,
                                      left + 100 * kSecond, "a"),
                      kNow + seconds(100)));
    }
    SECTION("an observation of a new incarnation makes it live and begins slow start") {
      CHECK(table.Apply(
          "w1",
          MakeObservation(WorkerState::kLive, ObservationSource::kNotice, left + kSecond, "b"),
          kNow + seconds(1)));
      CHECK(table.Find("w1")->live_since == kNow + seconds(1));
      SECTION("and late observations of the earlier leave are ignored") {
        CHECK_FALSE(table.Apply(
            "w1", MakeObservation(WorkerState::kLeaving, ObservationSource::kNotice, left),
            kNow + seconds(2)));
        CHECK_FALSE(table.Apply(
            "w1",
            MakeObservation(WorkerState::kLeaving, ObservationSource::kResponseHeader, left, "a"),
            kNow + seconds(2)));
      }
    }
    SECTION("the VM list makes it live only 10 s later, by its stamp and by the local clock") {
      const auto live_at = [&](int stamp_s, int now_s) {
        return table.Apply("w1",
                           MakeObservation(WorkerState::kLive, ObservationSource::kVmList,
                                           left + stamp_s * kSecond),
                           kNow + seconds(now_s));
      };
      CHECK_FALSE(live_at(9, 11));
      CHECK_FALSE(live_at(11, 9));
      CHECK(live_at(11, 11));
    }
    SECTION("a further observation of the leave restarts the 10 s") {
      CHECK_FALSE(
          table.Apply("w1",
                      MakeObservation(WorkerState::kLeaving, ObservationSource::kHealthEndpoint,
                                      left + 8 * kSecond),
                      kNow + seconds(8)));
      CHECK_FALSE(table.Apply(
          "w1",
          MakeObservation(WorkerState::kLive, ObservationSource::kVmList, left + 12 * kSecond),
          kNow + seconds(12)));
    }
  }
}

TEST_CASE("A gone worker is retained until no late observations are expected") {
  WorkerTable table({});
  table.Upsert(MakeInfo("w1"),
               MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart), kNow);
  REQUIRE(table.Started("w1", WorkClass::kLong));
  CHECK_FALSE(table.Apply(
      "w1", MakeObservation(WorkerState::kGone, ObservationSource::kNotice, kStart + 1), kNow));
  REQUIRE(table.Apply(
      "w1", MakeObservation(WorkerState::kGone, ObservationSource::kVmList, kStart + 1), kNow));
  CHECK_FALSE(table.Upsert(MakeInfo("w1"),
                           MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart),
                           kNow));
  CHECK(table.Candidates("katalog").empty());
  SECTION("and while a request is in progress there") {
    table.EraseGone(kNow + seconds(61));
    REQUIRE(table.Find("w1") != nullptr);
    CHECK(table.Finished("w1", {WorkClass::kLong}, kNow));
    table.EraseGone(kNow + seconds(61));
    CHECK(table.Find("w1") == nullptr);
    CHECK(table.WorkersOf("katalog").empty());
  }
}

TEST_CASE("The table records latencies and failures of requests") {
  WorkerTable table({});
  table.Upsert(MakeInfo("w1"),
               MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart), kNow);
  const auto end = [&](RequestOutcome outcome, Duration latency, TimePoint at) {
    REQUIRE(table.Started("w1", WorkClass::kShort));
    REQUIRE(table.Finished("w1", {WorkClass::kShort, outcome, latency, milliseconds(10)}, at));
  };
  SECTION("the average latency changes within seconds") {
    end(RequestOutcome::kSucceeded, milliseconds(10), kNow);
    CHECK(*table.Find("w1")->latency_ratio == Approx(1.0));
    for (int i = 1; i <= 30; ++i) {
      end(RequestOutcome::kSucceeded, milliseconds(100), kNow + milliseconds(100) * i);
    }
    CHECK(*table.Find("w1")->latency_ratio > 9.0);
  }
  SECTION("fast failures and cancelled requests do not lower the latency") {
    end(RequestOutcome::kSucceeded, milliseconds(10), kNow);
    end(RequestOutcome::kFailed, milliseconds(1), kNow + seconds(1));
    end(RequestOutcome::kCancelled, milliseconds(1), kNow + seconds(1));
    CHECK(*table.Find("w1")->latency_ratio == Approx(1.0));
    CHECK(table.RecentFailures(*table.Find("w1"), kNow + seconds(1)) == Approx(1.0));
    CHECK(table.RecentFailures(*table.Find("w1"), kNow + seconds(11)) < 0.01);
  }
  SECTION("an older load report does not replace a newer one") {
    table.Report("w1", {5, 6, kNow});
    table.Report("w1", {1, 6, kNow - milliseconds(1)});
    CHECK(table.Find("w1")->report->in_progress == 5);
  }
}

TEST_CASE("Counts of requests in progress are never negative and match Started and Finished") {
  const bool holds = rc::check([] {
    WorkerTable table({});
    table.Upsert(MakeInfo("w1"),
                 MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart), kNow);
    std::array<int, kWorkClasses> expected{};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, kWorkClasses), rc::gen::arbitrary<bool>()));
    for (const auto& [index, start] : steps) {
      const auto work_class = static_cast<WorkClass>(index);
      int& count = expected[static_cast<std::size_t>(index)];
      if (start) {
        RC_ASSERT(table.Started("w1", work_class));
        ++count;
      } else {
        RC_ASSERT(table.Finished("w1", {work_class}, kNow) == (count > 0));
        count = std::max(0, count - 1);
      }
      RC_ASSERT(table.Find("w1")->in_progress == expected);
    }
  });
  CHECK(holds);
}

TEST_CASE("No stale observation makes a leaving worker live") {
  const bool holds = rc::check([] {
    WorkerTable table({});
    table.Upsert(MakeInfo("w1"),
                 MakeObservation(WorkerState::kLive, ObservationSource::kVmList, kStart, "a"),
                 kNow);
    const UnixMicros left = kStart + kSecond;
    table.Apply("w1", MakeObservation(WorkerState::kLeaving, ObservationSource::kNotice, left),
                kNow);
    const auto observations = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(-20, 60), rc::gen::inRange(0, 60)));
    for (const auto& [source_index, stamp_s, now_s] : observations) {
      const auto source = static_cast<ObservationSource>(source_index);
      const auto observation =
          MakeObservation(WorkerState::kLive, source, left + stamp_s * kSecond, "a");
      const bool may_return = source == ObservationSource::kVmList && stamp_s >= 10 && now_s >= 10;
      RC_ASSERT(table.Apply("w1", observation, kNow + seconds(now_s)) == may_return);
      if (may_return) {
        return;
      }
      RC_ASSERT(table.Candidates("katalog").empty());
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::routing
