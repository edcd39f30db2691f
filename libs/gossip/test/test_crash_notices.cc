#include <catch2/catch.hpp>
#include <chrono>

#include "quetzalhinge/gossip/crash_notices.h"
#include "quetzalhinge/membership/notice_board.h"

namespace qh::gossip {
namespace {

using quarantine::CrashFindings;
using quarantine::CrashSuspects;
using std::chrono::seconds;

constexpr quarantine::Fingerprint kFingerprint = 7;
constexpr std::uint32_t kTransmitLimit = 3;

/** A notice board shared by all VMs of a test, with a simulated clock. */
class SharedBoard {
 public:
  TimePoint Now() const { return m_now; }

  void Advance(seconds time) {
    m_now += time;
    m_now_us += std::chrono::microseconds(time).count();
  }

  void Post(const CrashFindings& findings) {
    for (const membership::Notice& notice : ToNotices(findings, m_now_us)) {
      m_board.Post(notice, m_now_us, kTransmitLimit);
    }
  }

  void ApplyAllTo(CrashSuspects& suspects) const {
    for (const membership::PostedNotice* posted : m_board.Notices()) {
      ApplyCrashNotice(suspects, posted->notice, m_now, m_now_us);
    }
  }

 private:
  membership::NoticeBoard m_board{membership::NoticeBoardOptions{}};
  TimePoint m_now = TimePoint() + std::chrono::hours(1);
  UnixMicros m_now_us = 1'796'378'000'000'000;
};

TEST_CASE("A request that succeeds after a crash is cleared at VMs that did not see the success") {
  SharedBoard board;
  CrashSuspects reporter;
  board.Post(reporter.OnWorkerLost("w1", {kFingerprint}, board.Now()));
  board.Advance(seconds(1));

  SECTION("a request that never succeeds is quarantined after the loss of a second worker") {
    board.Post(reporter.OnWorkerLost("w2", {kFingerprint}, board.Now()));
    CrashSuspects restarted;
    board.ApplyAllTo(restarted);
    CHECK(restarted.QuarantineLeft(kFingerprint, board.Now()).has_value());
  }

  SECTION("after the request succeeded") {
    board.Post(reporter.OnSucceeded(kFingerprint, board.Now()));
    board.Advance(seconds(20));

    SECTION(
        "two crashes, each followed by a success, cause no quarantine at a VM that starts later") {
      board.Post(reporter.OnWorkerLost("w2", {kFingerprint}, board.Now()));
      board.Advance(seconds(1));
      board.Post(reporter.OnSucceeded(kFingerprint, board.Now()));
      CrashSuspects restarted;
      board.ApplyAllTo(restarted);
      CHECK(restarted.SuspectCount() == 0);
      CHECK_FALSE(restarted.QuarantineLeft(kFingerprint, board.Now()).has_value());
    }

    SECTION("a VM that knew the suspicion drops it and counts only later crashes") {
      CrashSuspects other;
      other.OnNotice(quarantine::SuspectNotice{kFingerprint, "w1", true, seconds(21)}, board.Now());
      REQUIRE(other.SuspectCount() == 1);
      board.ApplyAllTo(other);
      CHECK(other.SuspectCount() == 0);
      CHECK(other.OnWorkerLost("w2", {kFingerprint}, board.Now()).quarantined.empty());
      CHECK(other.OnWorkerLost("w3", {kFingerprint}, board.Now()).quarantined.size() == 1);
    }

    SECTION("a crash after the success is not cleared by the earlier notice") {
      CrashSuspects other;
      other.OnWorkerLost("w1", {kFingerprint}, board.Now());
      board.ApplyAllTo(other);
      CHECK(other.SuspectCount() == 1);
    }
  }
}

}  // namespace
}  // namespace qh::gossip
