#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "quetzalhinge/routing/worker_selector.h"
#include "quetzalhinge/routing/worker_table.h"

namespace qh::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{seconds(1000)};

std::string IdOf(int index) { return "w" + std::to_string(index); }

void AddWorkers(WorkerTable& table, int count) {
  for (int i = 0; i < count; ++i) {
    table.Upsert({IdOf(i), "katalog", {"127.0.2.1", 9000}, "jb", 6}, {}, kNow - seconds(60));
  }
}

/** Selects a worker for short work `count` times, and returns how often each one was selected. */
std::map<std::string, int> Distribution(WorkerSelector& selector, const WorkerTable& table,
                                        TimePoint now, int count) {
  RandomGenerator generator(7);
  std::map<std::string, int> chosen;
  for (int i = 0; i < count; ++i) {
    const Worker* worker =
        selector.Select(table.Candidates("katalog"), {WorkClass::kShort, 0, {}}, now, generator);
    ++chosen[worker == nullptr ? "none" : worker->info.id];
  }
  return chosen;
}

TEST_CASE("No policy selects a worker that is leaving, excluded or at its limit") {
  const bool holds = rc::check([] {
    WorkerTable table({});
    AddWorkers(table, 8);
    // The candidates are obtained before the workers leave, as by a caller that uses a stale list.
    const auto before = table.WorkersOf("katalog");
    const auto leaving = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (const int index : leaving) {
      table.Apply(IdOf(index), {WorkerState::kLeaving, ObservationSource::kNotice, 1, ""}, kNow);
    }
    const std::vector<std::string> excluded{IdOf(*rc::gen::inRange(0, 8))};
    const std::string full = IdOf(*rc::gen::inRange(0, 8));
    table.SetInProgressLimit(full, 1);
    table.Started(full, WorkClass::kShort);
    const SelectionRequest request{static_cast<WorkClass>(*rc::gen::inRange(0, kWorkClasses)),
                                   *rc::gen::element(0.0, 0.3, 0.8), excluded};
    RandomGenerator generator(*rc::gen::arbitrary<std::uint64_t>());
    for (const auto& row : kSelectionPolicyNames.rows) {
      const auto selector = MakeWorkerSelector(row.value);
      for (int i = 0; i < 20; ++i) {
        const Worker* worker = selector->Select(before, request, kNow, generator);
        // RC_ASSERT does not evaluate "||" lazily.
        const bool allowed =
            worker == nullptr ||
            (worker->state == WorkerState::kLive && worker->info.id != excluded.front() &&
             worker->InProgress() < worker->in_progress_limit);
        RC_ASSERT(allowed);
      }
    }
  });
  CHECK(holds);
}

TEST_CASE("The simple policies select workers according to their names") {
  WorkerTable table({});
  AddWorkers(table, 4);
  SECTION("round_robin selects each worker in turn") {
    const auto selector = MakeWorkerSelector(SelectionPolicy::kRoundRobin);
    CHECK(Distribution(*selector, table, kNow, 8) ==
          std::map<std::string, int>{{"w0", 2}, {"w1", 2}, {"w2", 2}, {"w3", 2}});
  }
  SECTION("least_requests selects the worker with the fewest requests in progress") {
    for (const char* id : {"w0", "w1", "w3"}) {
      REQUIRE(table.Started(id, WorkClass::kShort));
    }
    const auto selector = MakeWorkerSelector(SelectionPolicy::kLeastRequests);
    CHECK(Distribution(*selector, table, kNow, 10) == std::map<std::string, int>{{"w2", 10}});
  }
  SECTION("random selects each worker about equally often") {
    const auto selector = MakeWorkerSelector(SelectionPolicy::kRandom);
    for (const auto& [id, count] : Distribution(*selector, table, kNow, 4000)) {
      CAPTURE(id);
      CHECK(count == Approx(1000).margin(150));
    }
  }
}

TEST_CASE("load_aware sends fewer requests to workers that are slow, failing or starting") {
  WorkerTable table({});
  AddWorkers(table, 4);
  const auto selector = MakeWorkerSelector(SelectionPolicy::kLoadAware);
  const auto finish = [&](const std::string& id, RequestOutcome outcome, Duration latency) {
    table.Started(id, WorkClass::kShort);
    table.Finished(id, {WorkClass::kShort, outcome, latency, milliseconds(10)}, kNow);
  };
  for (int i = 0; i < 4; ++i) {
    finish(IdOf(i), RequestOutcome::kSucceeded, milliseconds(10));
  }
  SECTION("healthy workers get similar shares") {
    for (const auto& [id, count] : Distribution(*selector, table, kNow, 4000)) {
      CAPTURE(id);
      CHECK(count == Approx(1000).margin(150));
    }
  }
  SECTION("a worker that fails fast gets no requests at first and some later") {
    finish("w2", RequestOutcome::kFailed, milliseconds(1));
    CHECK(Distribution(*selector, table, kNow, 4000)["w2"] == 0);
    CHECK(Distribution(*selector, table, kNow + seconds(30), 4000)["w2"] > 0);
  }
  SECTION("a slow worker gets no requests at first and some later") {
    finish("w2", RequestOutcome::kSucceeded, milliseconds(100));
    table.Started("w2", WorkClass::kShort);
    table.Finished(
        "w2", {WorkClass::kShort, RequestOutcome::kSucceeded, milliseconds(100), milliseconds(10)},
        kNow + seconds(1));
    CHECK(Distribution(*selector, table, kNow + seconds(1), 4000)["w2"] == 0);
    CHECK(Distribution(*selector, table, kNow + seconds(30), 4000)["w2"] > 0);
  }
  SECTION("a worker that has returned gets a growing share") {
    table.Apply("w2", {WorkerState::kLeaving, ObservationSource::kNotice, 1, "a"}, kNow);
    table.Apply("w2", {WorkerState::kLive, ObservationSource::kNotice, 2, "b"}, kNow);
    const auto share_after = [&](Duration time) {
      return Distribution(*selector, table, kNow + time, 4000)["w2"];
    };
    const int fair = share_after(seconds(6));
    CHECK(share_after(seconds(0)) < fair / 4);
    CHECK(share_after(milliseconds(2500)) == Approx(fair / 2).margin(fair / 5));
  }
}

TEST_CASE("load_aware sends long work and short work to different workers") {
  // Guards against long work of several entry VMs that together fills all slots of every worker.
  const std::array<const char*, 3> zones{"z0", "z1", "z2"};
  std::set<std::string> used_by_short;
  std::set<std::string> used_by_long;
  std::set<std::string> zones_of_short;
  for (int vm = 0; vm < 15; ++vm) {
    WorkerTable table({});
    for (int i = 0; i < 9; ++i) {
      // Each VM adds the workers in a different order.
      const int index = (i + vm) % 9;
      table.Upsert({IdOf(index), "katalog", {"127.0.2.1", 9000}, zones[index % 3], 6}, {},
                   kNow - seconds(60));
    }
    const auto selector = MakeWorkerSelector(SelectionPolicy::kLoadAware, {.own_zone = "z1"});
    RandomGenerator generator(7);
    for (int i = 0; i < 50; ++i) {
      for (const WorkClass work_class : {WorkClass::kShort, WorkClass::kLong}) {
        const Worker* worker =
            selector->Select(table.Candidates("katalog"), {work_class, 0.5, {}}, kNow, generator);
        REQUIRE(worker != nullptr);
        (work_class == WorkClass::kShort ? used_by_short : used_by_long).insert(worker->info.id);
        if (work_class == WorkClass::kShort) {
          zones_of_short.insert(worker->info.zone);
        }
        // Only few requests stay in progress: with more, long work would reach its limit on the
        // workers that it prefers.
        if (i % 10 == 0) {
          table.Started(worker->info.id, work_class);
        }
      }
    }
  }
  for (const std::string& id : used_by_short) {
    CHECK(used_by_long.count(id) == 0);
  }
  CHECK(zones_of_short.size() == 3);
}

TEST_CASE("load_aware selects a worker in slow start if there is no other") {
  WorkerTable table({});
  table.Upsert({"w0", "katalog", {"127.0.2.1", 9000}, "jb", 6}, {}, kNow);
  const auto selector = MakeWorkerSelector(SelectionPolicy::kLoadAware);
  CHECK(Distribution(*selector, table, kNow, 100)["w0"] == 100);
}

TEST_CASE("load_aware reserves slots of each worker for short work") {
  WorkerTable table({});
  AddWorkers(table, 1);
  const auto selector = MakeWorkerSelector(SelectionPolicy::kLoadAware);
  RandomGenerator generator(7);
  const auto start = [&](WorkClass work_class, double reserved_share) {
    const Worker* worker = selector->Select(table.Candidates("katalog"),
                                            {work_class, reserved_share, {}}, kNow, generator);
    return worker != nullptr && table.Started(worker->info.id, work_class);
  };
  SECTION("long work waits for a free slot, short work does not") {
    int started = 0;
    while (started < 6 && start(WorkClass::kLong, 0.5)) {
      ++started;
    }
    CHECK(started >= 1);
    CHECK(started <= 3);
    CHECK(start(WorkClass::kShort, 0.5));
  }
  SECTION("unknown routes have a separate limit") {
    CHECK(start(WorkClass::kUnknown, 0.5));
    CHECK_FALSE(start(WorkClass::kUnknown, 0.5));
    CHECK(start(WorkClass::kLong, 0.5));
  }
  SECTION("no slots are reserved while only one class is in use") {
    for (int i = 0; i < 6; ++i) {
      CHECK(start(WorkClass::kUnknown, 0));
    }
  }
}

}  // namespace
}  // namespace qh::routing
