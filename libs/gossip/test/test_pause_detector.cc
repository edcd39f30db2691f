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
    CHECK(detector.Observe(start + milliseconds(300)) == Duration{});
    CHECK(detector.Observe(start + milliseconds(1300)) == Duration{});
    CHECK(detector.MaxQueueDelay(start + milliseconds(1300)) == Duration{});
  }
  SECTION("messages found afterwards may have waited for the whole gap") {
    const TimePoint resumed = start + milliseconds(3000);
    CHECK(detector.Observe(resumed) == milliseconds(3000));
    CHECK(detector.MaxQueueDelay(resumed) == milliseconds(3000));

    SECTION("until all are read") {
      CHECK(detector.Observe(resumed + milliseconds(90)) == Duration{});
      CHECK(detector.MaxQueueDelay(resumed + milliseconds(90)) == milliseconds(3000));
      CHECK(detector.MaxQueueDelay(resumed + milliseconds(110)) == Duration{});
    }
  }
}

}  // namespace
}  // namespace qh::gossip
