#include <catch2/catch.hpp>

#include "quetzalhinge/gateway/revision_lag.h"

namespace qh::gateway {

using namespace std::chrono_literals;

namespace {
const TimePoint kStart = TimePoint(1h);
}  // namespace

SCENARIO("A VM reads the store when it lags behind an announced revision") {
  RevisionLag lag(700ms);
  lag.OnKnown(10);
  CHECK_FALSE(lag.ReadDue().has_value());

  WHEN("a newer revision is announced") {
    lag.OnAnnounced(12, kStart);
    CHECK(lag.ReadDue() == kStart + 700ms);
    THEN("no read is due once the VM knows it") {
      lag.OnKnown(12);
      CHECK_FALSE(lag.ReadDue().has_value());
    }
    THEN("after a part of the news, the time runs from the rest of it") {
      lag.OnAnnounced(14, kStart + 300ms);
      lag.OnKnown(13);
      CHECK(lag.ReadDue() == kStart + 1s);
    }
  }
  WHEN("a known or an older revision is announced") {
    lag.OnAnnounced(10, kStart);
    lag.OnAnnounced(9, kStart);
    CHECK_FALSE(lag.ReadDue().has_value());
  }
  // Guards against a read that never takes place while changes follow each other faster than the
  // permitted lag.
  WHEN("further revisions are announced in quick succession") {
    TimePoint now = kStart;
    for (std::uint64_t revision = 12; revision < 22; ++revision) {
      lag.OnAnnounced(revision, now);
      now += 500ms;
    }
    THEN("they do not postpone the read") { CHECK(lag.ReadDue() == kStart + 700ms); }
  }
}

}  // namespace qh::gateway
