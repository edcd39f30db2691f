#include <catch2/catch.hpp>

#include "quetzalhinge/dispatch/worker_registry.h"

namespace qh::dispatch {

using namespace std::chrono_literals;

namespace {

const TimePoint kStart = TimePoint(1h);

WorkerRecord MakeWorker(const std::string& id, std::uint64_t sequence = 1,
                        std::uint64_t started = 1000) {
  WorkerRecord record;
  record.id = id;
  record.service = "katalog";
  record.address = {"10.0.0.1", 8080};
  record.zone = "jawa-barat";
  record.slots = 6;
  record.sequence = sequence;
  record.started_unix_ms = started;
  return record;
}

bool ContainsChange(const std::vector<WorkerEvent>& events, WorkerChange change) {
  for (const WorkerEvent& event : events) {
    if (event.change == change) {
      return true;
    }
  }
  return false;
}

}  // namespace

SCENARIO("The registry lists the workers that accept requests") {
  GIVEN("a registry with one ready worker") {
    WorkerRegistry registry;
    REQUIRE(
        ContainsChange(registry.Apply({{"a", MakeWorker("a", 5)}}, kStart), WorkerChange::kJoined));
    REQUIRE(registry.Usable("katalog").size() == 1);
    REQUIRE(registry.Usable("gudang").empty());

    WHEN("its entry changes to leaving") {
      WorkerRecord leaving = MakeWorker("a", 6);
      leaving.state = WorkerState::kLeaving;
      CHECK(ContainsChange(registry.Apply({{"a", leaving}}, kStart), WorkerChange::kLeaving));
      THEN("it gets no new request") { CHECK(registry.Usable("katalog").empty()); }
      THEN("an earlier entry that is read late does not make it usable") {
        registry.Apply({{"a", MakeWorker("a", 4)}}, kStart);
        CHECK(registry.Usable("katalog").empty());
      }
      THEN("an entry of a new start with the same id makes it usable") {
        const auto events = registry.Apply({{"a", MakeWorker("a", 0, 2000)}}, kStart);
        CHECK(ContainsChange(events, WorkerChange::kRestarted));
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("its entry is removed or cannot be parsed") {
      CHECK(ContainsChange(registry.Apply({{"a", std::nullopt}}, kStart), WorkerChange::kRemoved));
      THEN("it gets no new request") { CHECK(registry.Usable("katalog").empty()); }
      THEN("a late entry of the removed start is ignored") {
        registry.Apply({{"a", MakeWorker("a", 4)}}, kStart);
        CHECK(registry.Usable("katalog").empty());
      }
      THEN("a newer entry adds it again") {
        registry.Apply({{"a", MakeWorker("a", 6)}}, kStart);
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("a complete list of entries does not contain it") {
      registry.ApplyAll({{"b", MakeWorker("b")}}, kStart);
      THEN("only the listed worker is left") {
        REQUIRE(registry.Usable("katalog").size() == 1);
        CHECK(registry.Usable("katalog")[0]->record.id == "b");
      }
    }
    WHEN("a worker with its id is started for another service") {
      WorkerRecord other = MakeWorker("a", 0, 2000);
      other.service = "gudang";
      registry.Apply({{"a", other}}, kStart);
      THEN("it gets the requests of that service only") {
        CHECK(registry.Usable("katalog").empty());
        CHECK(registry.Usable("gudang").size() == 1);
      }
    }
    WHEN("it is started again with the same id") {
      registry.OnSent("a", kStart);
      registry.OnFailure("a", kStart);
      registry.Apply({{"a", MakeWorker("a", 0, 2000)}}, kStart);
      THEN("its requests in progress and failures are reset") {
        CHECK(registry.Find("a")->in_progress == 0);
        CHECK(FailureWeight(*registry.Find("a"), kStart) == 0);
      }
    }
  }

  GIVEN("a store that was unavailable") {
    WorkerRegistry registry;
    registry.Apply({{"a", MakeWorker("a", 5)}, {"b", MakeWorker("b", 5)}}, kStart);
    registry.DeferRemovals(kStart + 1900ms);

    WHEN("an entry has expired in the meantime") {
      const auto events = registry.ApplyAll({{"b", MakeWorker("b", 5)}}, kStart);
      CHECK(ContainsChange(events, WorkerChange::kRemovalDeferred));
      THEN("its worker is still used") { CHECK(registry.Usable("katalog").size() == 2); }
      THEN("a new entry cancels the removal") {
        CHECK(ContainsChange(registry.Apply({{"a", MakeWorker("a", 6)}}, kStart + 1s),
                             WorkerChange::kReturned));
        CHECK(registry.Expire(kStart + 1900ms).empty());
      }
      THEN("the worker is removed when the deferral ends without a new entry") {
        CHECK(registry.Expire(kStart + 1899ms).empty());
        CHECK(ContainsChange(registry.Expire(kStart + 1900ms), WorkerChange::kRemoved));
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("a worker was leaving before its entry was removed") {
      WorkerRecord leaving = MakeWorker("a", 6);
      leaving.state = WorkerState::kLeaving;
      registry.Apply({{"a", leaving}}, kStart);
      THEN("it is removed at once") {
        CHECK(
            ContainsChange(registry.Apply({{"a", std::nullopt}}, kStart), WorkerChange::kRemoved));
      }
    }
  }

  GIVEN("a worker that reports its load") {
    WorkerRegistry registry;
    registry.Apply({{"a", MakeWorker("a")}}, kStart);
    registry.OnReport("a", {4, 1, 6, 1.0}, kStart);
    THEN("requests sent since then are added and ended ones are subtracted") {
      CHECK(Occupancy(*registry.Find("a")) == 5);
      registry.OnSent("a", kStart);
      CHECK(Occupancy(*registry.Find("a")) == 6);
      registry.OnEnded("a");
      CHECK(Occupancy(*registry.Find("a")) == 5);
    }
    THEN("the weight of failures decreases with time and with successful responses") {
      registry.OnFailure("a", kStart);
      CHECK(FailureWeight(*registry.Find("a"), kStart) == Approx(1));
      CHECK(FailureWeight(*registry.Find("a"), kStart + 2s) == Approx(0.5));
      registry.OnSuccess("a", kStart);
      CHECK(FailureWeight(*registry.Find("a"), kStart) < 0.5);
    }
  }
}

}  // namespace qh::dispatch
