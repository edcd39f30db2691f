#include <catch2/catch.hpp>

#include "quetzalhinge/dispatch/worker_picker.h"

namespace qh::dispatch {

using namespace std::chrono_literals;

namespace {

const TimePoint kStart = TimePoint(1h);

WorkerRecord MakeWorker(const std::string& id, const std::string& zone) {
  WorkerRecord record;
  record.id = id;
  record.service = "katalog";
  record.address = {"10.0.0.1", 8080};
  record.zone = zone;
  record.slots = 6;
  record.sequence = 1;
  return record;
}

struct Fixture {
  WorkerRegistry registry;
  WorkerPicker picker;
  RandomGenerator random{20261204};
  PickRequest request{"katalog", "here", 200ms, {}};

  Fixture() {
    for (const char* id : {"near-1", "near-2"}) {
      registry.Apply({{id, MakeWorker(id, "here")}}, kStart);
    }
    for (const char* id : {"far-1", "far-2"}) {
      registry.Apply({{id, MakeWorker(id, "there")}}, kStart);
    }
  }

  Pick Decide(const std::set<std::string>& probed = {}, bool may_probe = true,
              TimePoint now = kStart) {
    return picker.Decide(registry, request, probed, may_probe, now, random);
  }
};

}  // namespace

SCENARIO("A worker is picked by its current load report") {
  Fixture fixture;

  GIVEN("no report at all") {
    THEN("workers are probed, those in the zone of this VM first") {
      const Pick pick = fixture.Decide();
      REQUIRE(pick.step == PickStep::kProbe);
      REQUIRE(pick.probes.size() == 3);
      CHECK(pick.probes[0].substr(0, 4) == "near");
      CHECK(pick.probes[1].substr(0, 4) == "near");
    }
    THEN("a worker is picked without a probe when there is no time for one") {
      CHECK(fixture.Decide({}, false).step == PickStep::kSend);
    }
  }
  GIVEN("a fresh report of a fast, free worker") {
    fixture.registry.OnReport("far-1", {0, 0, 6, 1.0}, kStart);
    THEN("the request goes there without a probe") {
      const Pick pick = fixture.Decide();
      CHECK(pick.step == PickStep::kSend);
      CHECK(pick.worker == "far-1");
    }
    THEN("the report is out of date 50 ms later") {
      CHECK(fixture.Decide({}, true, kStart + 50ms).step == PickStep::kProbe);
    }
    THEN("an equally preferred worker in the zone of this VM is picked first") {
      fixture.registry.OnReport("near-1", {2, 0, 6, 1.0}, kStart);
      CHECK(fixture.Decide().worker == "near-1");
    }
    THEN("an excluded worker is not picked") {
      fixture.request.excluded = {"far-1"};
      CHECK(fixture.Decide().step == PickStep::kProbe);
    }
  }
  GIVEN("workers in the zone of this VM on slow machines") {
    fixture.registry.OnReport("near-1", {0, 0, 6, 7.0}, kStart);
    fixture.registry.OnReport("near-2", {0, 0, 6, 7.0}, kStart);
    THEN("the other zone is probed before the request is sent") {
      const Pick pick = fixture.Decide({"near-1", "near-2"});
      REQUIRE(pick.step == PickStep::kProbe);
      CHECK(pick.probes.size() == 2);
    }
    THEN("a slow worker is used when the others are slow and full") {
      fixture.registry.OnReport("far-1", {6, 3, 6, 7.0}, kStart);
      fixture.registry.OnReport("far-2", {6, 3, 6, 7.0}, kStart);
      const Pick pick = fixture.Decide({"near-1", "near-2", "far-1", "far-2"});
      CHECK(pick.step == PickStep::kSend);
      CHECK(pick.worker.substr(0, 4) == "near");
    }
  }
  GIVEN("workers that are all full") {
    for (const char* id : {"near-1", "near-2", "far-1", "far-2"}) {
      fixture.registry.OnReport(id, {6, 2, 6, 1.0}, kStart);
    }
    THEN("the decision says that all workers are full") {
      CHECK(fixture.Decide({"near-1", "near-2", "far-1", "far-2"}).step == PickStep::kFull);
    }
  }
  GIVEN("a worker that keeps failing although its report shows a fast and free machine") {
    fixture.registry.OnReport("near-1", {0, 0, 6, 1.0}, kStart);
    fixture.registry.OnFailure("near-1", kStart);
    fixture.registry.OnFailure("near-1", kStart);
    THEN("other workers are probed first") { CHECK(fixture.Decide().step == PickStep::kProbe); }
  }
  GIVEN("no worker of the service") {
    fixture.request.service = "gudang";
    THEN("no worker is picked") { CHECK(fixture.Decide().step == PickStep::kNone); }
  }
}

SCENARIO("A worker at the limit that it states is not picked") {
  Fixture fixture;
  WorkerLimits& limits = fixture.registry.Limits();
  limits.SetVms("vm", {}, kStart);
  for (const char* id : {"near-1", "near-2", "far-1"}) {
    limits.OnStated(id, 1.0, kStart);
  }
  fixture.registry.OnReport("near-1", {0, 0, 6, 1}, kStart);

  THEN("another worker is picked or probed") {
    const Pick pick = fixture.Decide();
    REQUIRE(pick.step == PickStep::kProbe);
    CHECK(pick.probes == std::vector<std::string>{"far-2"});
  }
  WHEN("all workers are at their limits") {
    limits.OnStated("far-2", 4.0, kStart);
    THEN("the time until one of them may be sent to is known") {
      const Pick pick = fixture.Decide();
      CHECK(pick.step == PickStep::kLimited);
      CHECK(pick.wait > 200ms);
      CHECK(pick.wait <= 251ms);
    }
    THEN("the first one that may be sent to is considered") {
      CHECK(fixture.Decide({}, true, kStart + 300ms).probes == std::vector<std::string>{"far-2"});
    }
  }
  WHEN("a limited worker is removed and returns") {
    fixture.registry.Apply({{"near-1", std::nullopt}}, kStart);
    WorkerRecord record = MakeWorker("near-1", "here");
    record.sequence = 2;
    fixture.registry.Apply({{"near-1", record}}, kStart);
    THEN("its limit is forgotten") { CHECK(limits.MaySend("near-1", kStart)); }
  }
}

}  // namespace qh::dispatch
