#include <catch2/catch.hpp>

#include "quetzalhinge/gossip/pause_detector.h"

namespace qh::gossip {
namespace {

using std::chrono::milliseconds;

// Pattern: a process wakes with seconds of messages in its socket and takes them for news, so that
// it answers callers with addresses of VMs that went off meanwhile.
TEST_CASE("A pause shows as a gap between calls") {
  const TimePoint start{};
  PauseDetector detector(start, milliseconds(1000));

  SECTION("usual gaps are none") {
    CHECK(detector.Note(start + milliseconds(300)) == Duration{});
    CHECK(detector.Note(start + milliseconds(1300)) == Duration{});
    CHECK(detector.LongestWait(start + milliseconds(1300)) == Duration{});
  }
  SECTION("messages found afterwards may have waited for the whole gap") {
    const TimePoint resumed = start + milliseconds(3000);
    CHECK(detector.Note(resumed) == milliseconds(3000));
    CHECK(detector.LongestWait(resumed) == milliseconds(3000));

    SECTION("until all are read") {
      CHECK(detector.Note(resumed + milliseconds(90)) == Duration{});
      CHECK(detector.LongestWait(resumed + milliseconds(90)) == milliseconds(3000));
      CHECK(detector.LongestWait(resumed + milliseconds(110)) == Duration{});
    }
  }
}

}  // namespace
}  // namespace qh::gossip
