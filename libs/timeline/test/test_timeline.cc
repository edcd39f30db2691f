#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "quetzalhinge/timeline/event_json.h"
#include "quetzalhinge/timeline/event_ring.h"

namespace qh::timeline {
namespace {

TEST_CASE("Stamps follow causal order even if wall clocks differ") {
  const bool holds = rc::check([](const std::vector<std::pair<bool, std::int32_t>>& steps) {
    HybridClock sender;
    HybridClock receiver;
    HybridStamp last_received;
    for (const auto& [is_message, skew] : steps) {
      const HybridStamp sent = sender.Tick(1000000 + skew);
      if (is_message) {
        const HybridStamp received = receiver.Merge(sent, 1000000 - skew);
        RC_ASSERT(received > sent);
        RC_ASSERT(received > last_received);
        last_received = received;
      }
    }
  });
  CHECK(holds);
}

// Guards against a process that runs out of memory because callers send long names.
TEST_CASE("A ring cuts long texts") {
  EventRing ring(1);
  Event event;
  event.customer = std::string(10'000, 'x');
  ring.Add(event);
  const std::vector<Event> events = ring.Select({});
  REQUIRE(events.size() == 1);
  CHECK(events.front().customer == std::string(EventRing::kMaxTextBytes, 'x'));
}

TEST_CASE("A ring keeps the newest events and filters them") {
  EventRing ring(3);
  HybridClock clock;
  for (int i = 0; i < 5; ++i) {
    ring.Add(Event{clock.Tick(100 + i), "jb-1", "qh-entry", "call", "r" + std::to_string(i), "", "",
                   ""});
  }
  CHECK(ring.Dropped() == 2);
  CHECK(ring.Select({}).front().request_id == "r2");
  EventFilter filter;
  filter.request_id = "r4";
  REQUIRE(ring.Select(filter).size() == 1);

  SECTION("events of several processes are merged by stamp") {
    const std::vector<Event> other{Event{{102, 5}, "jb-2", "qh-control", "x", "", "", "", ""}};
    const auto merged = MergeEvents({ring.Select({}), other});
    CHECK(merged[1].vm == "jb-2");
  }
  SECTION("an event can be restored from its JSON form") {
    const Event event = ring.Select(filter).front();
    const auto copy = EventFromJson(ToJson(event));
    REQUIRE(copy.has_value());
    CHECK(copy->request_id == event.request_id);
    CHECK(copy->stamp == event.stamp);
    CHECK_FALSE(EventFromJson(nlohmann::json{{"wall_us", "x"}}).has_value());
  }
}

}  // namespace
}  // namespace qh::timeline
