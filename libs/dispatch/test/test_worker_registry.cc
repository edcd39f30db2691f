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

bool Has(const std::vector<WorkerEvent>& events, WorkerChange change) {
  for (const WorkerEvent& event : events) {
    if (event.change == change) {
      return true;
    }
  }
  return false;
}

}  // namespace

SCENARIO("The registry knows which workers may get requests") {
  GIVEN("a registry with one ready worker") {
    WorkerRegistry registry;
    REQUIRE(Has(registry.Apply({{"a", MakeWorker("a", 5)}}, kStart), WorkerChange::kJoined));
    REQUIRE(registry.Usable("katalog").size() == 1);
    REQUIRE(registry.Usable("gudang").empty());

    WHEN("it says that it leaves") {
      WorkerRecord leaving = MakeWorker("a", 6);
      leaving.state = WorkerState::kLeaving;
      CHECK(Has(registry.Apply({{"a", leaving}}, kStart), WorkerChange::kLeaving));
      THEN("it gets no new request") { CHECK(registry.Usable("katalog").empty()); }
      THEN("an earlier report that is read late does not bring it back") {
        registry.Apply({{"a", MakeWorker("a", 4)}}, kStart);
        CHECK(registry.Usable("katalog").empty());
      }
      THEN("a new start under its identity does") {
        const auto events = registry.Apply({{"a", MakeWorker("a", 0, 2000)}}, kStart);
        CHECK(Has(events, WorkerChange::kRestarted));
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("its entry is removed, or cannot be read") {
      CHECK(Has(registry.Apply({{"a", std::nullopt}}, kStart), WorkerChange::kRemoved));
      THEN("it gets no new request") { CHECK(registry.Usable("katalog").empty()); }
      THEN("a late entry of the removed start changes nothing") {
        registry.Apply({{"a", MakeWorker("a", 4)}}, kStart);
        CHECK(registry.Usable("katalog").empty());
      }
      THEN("a newer entry brings it back") {
        registry.Apply({{"a", MakeWorker("a", 6)}}, kStart);
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("all entries are read and it is missing") {
      registry.ApplyAll({{"b", MakeWorker("b")}}, kStart);
      THEN("only the listed worker is left") {
        REQUIRE(registry.Usable("katalog").size() == 1);
        CHECK(registry.Usable("katalog")[0]->record.id == "b");
      }
    }
    WHEN("its identity is started anew for another service") {
      WorkerRecord other = MakeWorker("a", 0, 2000);
      other.service = "gudang";
      registry.Apply({{"a", other}}, kStart);
      THEN("it gets the requests of that service only") {
        CHECK(registry.Usable("katalog").empty());
        CHECK(registry.Usable("gudang").size() == 1);
      }
    }
    WHEN("it is started anew under its identity") {
      registry.OnSent("a");
      registry.OnFailure("a", kStart);
      registry.Apply({{"a", MakeWorker("a", 0, 2000)}}, kStart);
      THEN("nothing of before counts") {
        CHECK(registry.Find("a")->in_progress == 0);
        CHECK(FailureWeight(*registry.Find("a"), kStart) == 0);
      }
    }
  }

  GIVEN("a store that was away") {
    WorkerRegistry registry;
    registry.Apply({{"a", MakeWorker("a", 5)}, {"b", MakeWorker("b", 5)}}, kStart);
    registry.DeferRemovals(kStart + 1900ms);

    WHEN("entries have lapsed meanwhile") {
      const auto events = registry.ApplyAll({{"b", MakeWorker("b", 5)}}, kStart);
      CHECK(Has(events, WorkerChange::kRemovalPutOff));
      THEN("their workers are still used") { CHECK(registry.Usable("katalog").size() == 2); }
      THEN("an entry that comes back stays") {
        CHECK(Has(registry.Apply({{"a", MakeWorker("a", 6)}}, kStart + 1s), WorkerChange::kBack));
        CHECK(registry.Expire(kStart + 1900ms).empty());
      }
      THEN("an entry that is missing when the time is over is gone") {
        CHECK(registry.Expire(kStart + 1899ms).empty());
        CHECK(Has(registry.Expire(kStart + 1900ms), WorkerChange::kRemoved));
        CHECK(registry.Usable("katalog").size() == 1);
      }
    }
    WHEN("a worker had said that it leaves before its entry went") {
      WorkerRecord leaving = MakeWorker("a", 6);
      leaving.state = WorkerState::kLeaving;
      registry.Apply({{"a", leaving}}, kStart);
      THEN("it is removed at once") {
        CHECK(Has(registry.Apply({{"a", std::nullopt}}, kStart), WorkerChange::kRemoved));
      }
    }
  }

  GIVEN("a worker that reports its load") {
    WorkerRegistry registry;
    registry.Apply({{"a", MakeWorker("a")}}, kStart);
    registry.OnReport("a", {4, 1, 6, 1.0}, kStart);
    THEN("requests sent since then count, those that ended are taken off") {
      CHECK(Occupancy(*registry.Find("a")) == 5);
      registry.OnSent("a");
      CHECK(Occupancy(*registry.Find("a")) == 6);
      registry.OnEnded("a");
      CHECK(Occupancy(*registry.Find("a")) == 5);
    }
    THEN("failures weigh less as time passes and as responses are good again") {
      registry.OnFailure("a", kStart);
      CHECK(FailureWeight(*registry.Find("a"), kStart) == Approx(1));
      CHECK(FailureWeight(*registry.Find("a"), kStart + 2s) == Approx(0.5));
      registry.OnSuccess("a", kStart);
      CHECK(FailureWeight(*registry.Find("a"), kStart) < 0.5);
    }
  }
}

}  // namespace qh::dispatch
