#include <catch2/catch.hpp>

#include "quetzalhinge/gossip/pause_detector.h"

namespace qh::gossip {
namespace {

using std::chrono::milliseconds;

// Guards against this failure: a process resumes after a pause of seconds, treats the messages
// queued in its socket as newly sent and returns addresses of VMs that were switched off during the
// pause.
TEST_CASE("A gap between calls is detected as a pause") {
  const TimePoint start{};
  PauseDetector detector(start, milliseconds(1000));

  SECTION("gaps up to the limit are not pauses") {
    CHECK(detector.Observe(start + milliseconds(300)) == Duration{});
    CHECK(detector.Observe(start + milliseconds(1300)) == Duration{});
    CHECK(detector.MaxQueueDelay(start + milliseconds(1300)) == Duration{});
  }
  SECTION("messages read afterwards may have waited for the entire gap") {
    const TimePoint resumed = start + milliseconds(3000);
    CHECK(detector.Observe(resumed) == milliseconds(3000));
    CHECK(detector.MaxQueueDelay(resumed) == milliseconds(3000));

    SECTION("until the backlog time has passed") {
      CHECK(detector.Observe(resumed + milliseconds(90)) == Duration{});
      CHECK(detector.MaxQueueDelay(resumed + milliseconds(90)) == milliseconds(3000));
      CHECK(detector.MaxQueueDelay(resumed + milliseconds(110)) == Duration{});
    }
  }
}

}  // namespace
}  // namespace qh::gossip
