#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr Fingerprint kCrasher = 1;
constexpr Fingerprint kInnocent = 2;
constexpr Fingerprint kOther = 3;

TEST_CASE("A request that crashes two workers is quarantined") {
  CrashSuspects suspects;
  const CrashFindings first = suspects.OnWorkerLost("w1", {kCrasher}, kStart);
  REQUIRE(first.suspects.size() == 1);
  CHECK(first.suspects[0].alone);
  CHECK_FALSE(suspects.QuarantineLeft(kCrasher, kStart).has_value());

  SECTION("within a minute") {
    const TimePoint now = kStart + seconds(59);
    const CrashFindings second = suspects.OnWorkerLost("w2", {kCrasher, kInnocent}, now);
    REQUIRE(second.quarantined.size() == 1);
    CHECK(suspects.QuarantineLeft(kCrasher, now) == Duration(seconds(60)));
    CHECK_FALSE(suspects.QuarantineLeft(kCrasher, now + seconds(60)).has_value());

    SECTION("the other request in progress does not become a suspect") {
      CHECK(second.suspects.empty());
      CHECK(suspects.SuspectCount() == 0);
    }
    SECTION("and each further quarantine lasts twice as long, up to 16 min") {
      TimePoint next = now;
      for (const int expected_s : {120, 240, 480, 960, 960}) {
        next += *suspects.QuarantineLeft(kCrasher, next) + seconds(10);
        CHECK(suspects.OnWorkerLost("w3", {kCrasher}, next).quarantined.size() == 1);
        CHECK(suspects.QuarantineLeft(kCrasher, next) == Duration(seconds(expected_s)));
      }
    }
    SECTION("a crash with the quarantined request in progress creates no suspects") {
      CHECK(suspects.OnWorkerLost("w3", {kCrasher, kOther}, now).quarantined.empty());
      CHECK(suspects.SuspectCount() == 0);
    }
  }
  SECTION("not when the crashes are more than a minute apart") {
    CHECK(suspects.OnWorkerLost("w2", {kCrasher}, kStart + seconds(60)).quarantined.empty());
  }
  SECTION("not when one worker crashes twice") {
    CHECK(suspects.OnWorkerLost("w1", {kCrasher}, kStart + seconds(1)).quarantined.empty());
  }
  SECTION("not when it succeeded in between") {
    suspects.OnSucceeded(kCrasher, kStart + seconds(1));
    CHECK(suspects.OnWorkerLost("w2", {kCrasher}, kStart + seconds(2)).quarantined.empty());
  }
}

TEST_CASE("Innocent requests at a crashed worker are not quarantined") {
  CrashSuspects suspects;
  SECTION("a request that was alone at a crash is quarantined before one that never was") {
    suspects.OnWorkerLost("w1", {kCrasher, kInnocent}, kStart);
    suspects.OnWorkerLost("w1", {kCrasher}, kStart + seconds(5));
    suspects.OnWorkerLost("w2", {kCrasher, kInnocent}, kStart + seconds(6));
    CHECK(suspects.QuarantineLeft(kCrasher, kStart + seconds(6)).has_value());
    CHECK_FALSE(suspects.QuarantineLeft(kInnocent, kStart + seconds(6)).has_value());
  }
  // Guards against the quarantine of a popular page when a rack fails or a fault affects several
  // workers in turn.
  SECTION("a popular request that has just succeeded does not become a suspect") {
    suspects.OnSucceeded(kInnocent, kStart - milliseconds(10));
    suspects.OnWorkerLost("w1", {kInnocent, kOther}, kStart);
    CHECK(suspects.OnWorkerLost("w2", {kInnocent, kCrasher}, kStart).quarantined.empty());
  }
}

TEST_CASE("VMs apply the notices of other VMs") {
  CrashSuspects here;
  CrashSuspects there;
  const auto lost_here = here.OnWorkerLost("w1", {kCrasher, kInnocent}, kStart);
  for (SuspectNotice notice : lost_here.suspects) {
    notice.age = seconds(1);
    CHECK_FALSE(there.OnNotice(notice, kStart).has_value());
  }
  SECTION("crashes of one worker each at two VMs lead to a quarantine") {
    const auto found = there.OnWorkerLost("w2", {kCrasher}, kStart + seconds(2));
    REQUIRE(found.quarantined.size() == 1);
    here.OnNotice(found.quarantined[0], kStart + seconds(3));
    CHECK(here.QuarantineLeft(kCrasher, kStart + seconds(3)).has_value());
    CHECK(here.SuspectCount() == 0);

    SECTION("and a notice that is repeated does not prolong it") {
      here.OnNotice(found.quarantined[0], kStart + seconds(40));
      CHECK_FALSE(here.QuarantineLeft(kCrasher, kStart + seconds(63)).has_value());
    }
  }
  SECTION("two notices of other VMs lead to a quarantine") {
    const auto found = there.OnNotice(SuspectNotice{kCrasher, "w2", true, seconds(0)}, kStart);
    REQUIRE(found.has_value());
    CHECK(found->times == 1);
  }
  SECTION("old suspects and requests that have succeeded are ignored") {
    CHECK_FALSE(there.OnNotice(SuspectNotice{kCrasher, "w2", true, seconds(60)}, kStart));
    there.OnSucceeded(kInnocent, kStart);
    CHECK_FALSE(there.OnNotice(SuspectNotice{kInnocent, "w2", true, seconds(2)}, kStart));
    CHECK(there.SuspectCount() == 1);
  }
}

// Guards against memory use that grows with hostile or unusual traffic.
TEST_CASE("The number of suspects is bounded and the newest are kept") {
  const bool holds = rc::check([](const std::vector<std::uint16_t>& fingerprints) {
    CrashSuspectsOptions options;
    options.max_suspects = 8;
    CrashSuspects suspects(options);
    TimePoint now = kStart;
    for (const Fingerprint fingerprint : fingerprints) {
      now += milliseconds(10);
      suspects.OnWorkerLost("w" + std::to_string(fingerprint % 2), {fingerprint}, now);
      RC_ASSERT(suspects.SuspectCount() <= 8U);
    }
    suspects.OnWorkerLost("w5", {0x10000}, now);
    suspects.OnWorkerLost("w6", {0x10000}, now);
    RC_ASSERT(suspects.QuarantineLeft(0x10000, now).has_value());
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::quarantine
