#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/membership/member_table.h"
#include "quetzalhinge/membership/notice_board.h"

namespace qh::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UnixMicros kSecond = 1'000'000;
constexpr UnixMicros kNow = 1'796'378'000 * kSecond;
constexpr std::uint32_t kTransmitLimit = 12;

MemberRecord MakeRecord(const std::string& vm, std::uint32_t heartbeat, std::uint32_t version = 0,
                        MemberState state = MemberState::kLive, std::uint64_t generation = 5) {
  MemberRecord record;
  record.vm = vm;
  record.generation = generation;
  record.version = version;
  record.heartbeat = heartbeat;
  record.state = state;
  record.slot = static_cast<std::uint16_t>(vm.back() - '0');
  return record;
}

TEST_CASE("A member is active as long as its heartbeat increases") {
  MemberTable table(MakeRecord("vm-0", 0));
  const TimePoint start{};
  CHECK(table.Merge(MakeRecord("vm-1", 10), start) == MergeOutcome::kNewMember);
  CHECK(table.ServingMembers(start).size() == 2);

  SECTION("repeated and out-of-order records do not keep it active") {
    const TimePoint later = start + milliseconds(2900);
    CHECK(table.Merge(MakeRecord("vm-1", 10), later) == MergeOutcome::kStale);
    CHECK(table.Merge(MakeRecord("vm-1", 9), later) == MergeOutcome::kStale);
    CHECK(table.IsActive("vm-1", start + seconds(3)));
    CHECK_FALSE(table.IsActive("vm-1", start + milliseconds(3001)));
    CHECK(table.GossipPeers(start + milliseconds(3001)).empty());
  }
  // Guards against address responses that list a VM that is switched off until it is suspected,
  // which takes long in a large deployment.
  SECTION("it is listed as serving for at most the given maximum silence") {
    table.SetVmCount(131);
    const TimePoint later = start + seconds(5);
    REQUIRE(table.IsActive("vm-1", later));
    CHECK(table.ServingMembers(later).size() == 2);
    CHECK(table.ServingMembers(later, milliseconds(4500)).size() == 1);
    CHECK(table.ServingMembers(start + seconds(4), milliseconds(4500)).size() == 2);
  }
  // Guards against a VM that is switched off but listed because its last heartbeat is forwarded
  // between VMs for seconds.
  SECTION("the age of a forwarded heartbeat counts as silence") {
    constexpr milliseconds kMaxSilence{3000};
    const auto is_listed = [&](milliseconds since_start) {
      return table.ServingMembers(start + since_start, kMaxSilence).size() == 2;
    };
    const std::uint16_t tag = GenerationTag(MakeRecord("vm-1", 11));
    CHECK(table.MergeHeartbeat({1, tag, 11, milliseconds(1500)}, start + seconds(2)));
    CHECK(is_listed(milliseconds(3500)));
    CHECK_FALSE(is_listed(milliseconds(3501)));
    CHECK(table.IsActive("vm-1", start + milliseconds(5000)));

    SECTION("a forwarded record with the same heartbeat does not reset the silence") {
      MemberRecord forwarded = MakeRecord("vm-1", 11, 1);
      forwarded.heartbeat_age = milliseconds(2000);
      CHECK(table.Merge(forwarded, start + seconds(3)) == MergeOutcome::kChanged);
      CHECK_FALSE(is_listed(milliseconds(3501)));
    }
    SECTION("of two ages of a heartbeat the older one counts") {
      CHECK_FALSE(table.MergeHeartbeat({1, tag, 11, milliseconds(100)}, start + seconds(2)));
      CHECK_FALSE(table.MergeHeartbeat({1, tag, 11, milliseconds(2500)}, start + seconds(3)));
      const TimePoint later = start + milliseconds(2600);
      CHECK_FALSE(table.MergeHeartbeat({1, tag, 11, milliseconds(2500)}, later));
      CHECK(is_listed(milliseconds(3100)));
      CHECK_FALSE(is_listed(milliseconds(3101)));
    }
    SECTION("the time that a message waited before it was read counts") {
      CHECK(table.MergeHeartbeat({1, tag, 12, milliseconds(500)}, start + seconds(4), seconds(3)));
      CHECK(is_listed(milliseconds(3500)));
      CHECK_FALSE(is_listed(milliseconds(3501)));
    }
  }
  // A VM that was suspended while a leave was gossiped may afterwards receive only heartbeats.
  SECTION("a digest of a different state does not keep the member active in the known state") {
    const std::uint16_t leaving = GenerationTag(MakeRecord("vm-1", 11, 1, MemberState::kLeaving));
    CHECK_FALSE(table.MergeHeartbeat({1, leaving, 11}, start + seconds(2)));
    CHECK_FALSE(table.IsActive("vm-1", start + milliseconds(3001)));
  }
  SECTION("a digest of its incarnation keeps it active, one of a different incarnation does not") {
    const MemberRecord record = MakeRecord("vm-1", 11);
    const std::uint16_t tag = GenerationTag(record);
    CHECK(table.MergeHeartbeat({1, tag, 11}, start + seconds(2)));
    CHECK_FALSE(table.MergeHeartbeat({1, static_cast<std::uint16_t>(tag + 1), 12}, start));
    CHECK_FALSE(table.MergeHeartbeat({2, tag, 12}, start));
    CHECK(table.IsActive("vm-1", start + seconds(5)));
    // Guards against losing a change in a record whose heartbeat is older than that of a digest.
    CHECK(table.Merge(MakeRecord("vm-1", 10, 1, MemberState::kLeaving), start) ==
          MergeOutcome::kChanged);
    CHECK(table.Find("vm-1")->record.heartbeat == 11);
    CHECK(table.ServingMembers(start).size() == 1);
  }
  SECTION("its next incarnation replaces it, and records of the earlier one are ignored") {
    CHECK(table.Merge(MakeRecord("vm-1", 0, 0, MemberState::kStarting, 6), start) ==
          MergeOutcome::kChanged);
    CHECK(table.Merge(MakeRecord("vm-1", 99, 9), start) == MergeOutcome::kStale);
    CHECK(table.Find("vm-1")->record.state == MemberState::kStarting);
  }
  SECTION("malformed records are ignored") {
    CHECK(table.Merge(MakeRecord(std::string(49, '1'), 0), start) == MergeOutcome::kStale);
    CHECK(table.Merge(MakeRecord("vm-2", 0, 0, MemberState::kLive, UINT64_MAX), start) ==
          MergeOutcome::kStale);
  }
}

TEST_CASE("A VM that restarts with its clock set back refutes its earlier record") {
  MemberTable table(MakeRecord("vm-0", 0));
  CHECK(table.Merge(MakeRecord("vm-0", 100, 0, MemberState::kGone, 9), {}) ==
        MergeOutcome::kRefuted);
  CHECK(table.Self().generation == 10);
  CHECK(table.Merge(MakeRecord("vm-0", 100, 0, MemberState::kGone, 9), {}) == MergeOutcome::kStale);
  CHECK(table.Merge(table.Self(), {}) == MergeOutcome::kStale);
  CHECK(table.RefutedCount() == 1);
}

TEST_CASE("Gossip peers contain seeds and active members without duplicates") {
  MemberRecord self = MakeRecord("vm-0", 0);
  self.endpoints.gossip = {"127.0.1.1", 7000};
  MemberTable table(self);
  table.SetSeeds({{"127.0.1.1", 7000}, {"127.0.1.2", 7000}});
  CHECK(table.GossipPeers({}) == std::vector<IpEndpoint>{{"127.0.1.2", 7000}});
  MemberRecord other = MakeRecord("vm-1", 0);
  other.endpoints.gossip = {"127.0.1.2", 7000};
  table.Merge(other, {});
  CHECK(table.GossipPeers({}).size() == 1);
}

TEST_CASE("A full table evicts the member with the longest silence") {
  MemberTableOptions options;
  options.capacity = 2;
  MemberTable table(MakeRecord("vm-0", 0), options);
  table.Merge(MakeRecord("vm-1", 0), TimePoint(seconds(2)));
  table.Merge(MakeRecord("vm-2", 0), TimePoint(seconds(1)));
  table.Merge(MakeRecord("vm-3", 0), TimePoint(seconds(3)));
  CHECK(table.AllMembers().size() == 2);
  CHECK(table.Find("vm-2") == nullptr);
}

TEST_CASE("Tables that merge the same records in different orders agree") {
  // Guards against a merge rule under which the views of two VMs never converge.
  const bool holds = rc::check([] {
    const auto versions = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 9)));
    std::vector<MemberRecord> records;
    for (const auto& [generation, version, heartbeat] : versions) {
      // As in production, generation and version determine the content.
      const auto state = static_cast<MemberState>((generation + version) % 4);
      records.push_back(MakeRecord("vm-1", static_cast<std::uint32_t>(heartbeat),
                                   static_cast<std::uint32_t>(version), state,
                                   static_cast<std::uint64_t>(generation)));
      records.back().revision = 2 * static_cast<std::uint64_t>(heartbeat);
    }
    MemberTable first(MakeRecord("vm-0", 0));
    MemberTable second(MakeRecord("vm-2", 0));
    for (const MemberRecord& record : records) {
      first.Merge(record, {});
    }
    RandomGenerator random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(records.begin(), records.end(), random);
    for (const MemberRecord& record : records) {
      second.Merge(record, {});
      second.Merge(record, {});
    }
    RC_ASSERT(records.empty() == (first.Find("vm-1") == nullptr));
    if (!records.empty()) {
      RC_ASSERT(first.Find("vm-1")->record == second.Find("vm-1")->record);
    }
  });
  CHECK(holds);
}

Notice MakeNotice(NoticeKind kind, const std::string& subject, UnixMicros stamp_us = kNow,
                  std::uint64_t value = 0) {
  return {kind, subject, "", value, stamp_us, seconds(60)};
}

TEST_CASE("A board reports which notices are new") {
  NoticeBoard board;
  const Notice leaving = MakeNotice(NoticeKind::kWorkerLeaving, "w1");
  CHECK(board.Post(leaving, kNow, kTransmitLimit) == NoticeOutcome::kNew);
  CHECK(board.Post(leaving, kNow, kTransmitLimit) == NoticeOutcome::kKnown);

  SECTION("kWorkerBack replaces kWorkerLeaving only with a later stamp") {
    CHECK(board.Post(MakeNotice(NoticeKind::kWorkerBack, "w1"), kNow, kTransmitLimit) ==
          NoticeOutcome::kKnown);
    CHECK(board.Post(MakeNotice(NoticeKind::kWorkerBack, "w1", kNow + 1), kNow, kTransmitLimit) ==
          NoticeOutcome::kNew);
    CHECK(board.Post(leaving, kNow, kTransmitLimit) == NoticeOutcome::kKnown);
    CHECK(board.Size() == 1);
  }
  SECTION("the highest contract revision wins whatever its stamp") {
    CHECK(board.Post(MakeNotice(NoticeKind::kContractRevision, "", kNow, 8), kNow,
                     kTransmitLimit) == NoticeOutcome::kNew);
    CHECK(board.Post(MakeNotice(NoticeKind::kContractRevision, "", kNow + 9, 7), kNow,
                     kTransmitLimit) == NoticeOutcome::kKnown);
  }
  SECTION("suspicions of one request at two workers are separate notices") {
    Notice suspect = MakeNotice(NoticeKind::kSuspectFingerprint, "f");
    suspect.detail = "w1";
    CHECK(board.Post(suspect, kNow, kTransmitLimit) == NoticeOutcome::kNew);
    suspect.detail = "w2";
    CHECK(board.Post(suspect, kNow, kTransmitLimit) == NoticeOutcome::kNew);
  }
  SECTION("an expired notice cannot be posted again") {
    board.Expire(kNow + 60 * kSecond);
    CHECK(board.Size() == 0);
    CHECK(board.Post(leaving, kNow + 60 * kSecond, kTransmitLimit) == NoticeOutcome::kExpired);
  }
  SECTION("a stamp far in the future or too long a lifetime is invalid") {
    Notice invalid = MakeNotice(NoticeKind::kWorkerLeaving, "w2", kNow + 6 * kSecond);
    CHECK(board.Post(invalid, kNow, kTransmitLimit) == NoticeOutcome::kInvalid);
    invalid = MakeNotice(NoticeKind::kWorkerLeaving, "w2");
    invalid.lifetime = kMaxNoticeLifetime + milliseconds(1);
    CHECK(board.Post(invalid, kNow, kTransmitLimit) == NoticeOutcome::kInvalid);
  }
}

TEST_CASE("A full board keeps the most important notices and reports none as new twice") {
  // Guards against a message storm in which evicted notices are received as new again and again.
  const bool holds = rc::check([] {
    NoticeBoardOptions options;
    options.capacity = 3;
    NoticeBoard board(options);
    board.Post(MakeNotice(NoticeKind::kWorkerLeaving, "w"), kNow, kTransmitLimit);
    std::map<int, int> times_new;
    for (const int subject : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
      const Notice suspect =
          MakeNotice(NoticeKind::kSuspectFingerprint, std::to_string(subject), kNow + subject % 3);
      times_new[subject] +=
          board.Post(suspect, kNow, kTransmitLimit) == NoticeOutcome::kNew ? 1 : 0;
      RC_ASSERT(times_new[subject] <= 1);
    }
    RC_ASSERT(board.Size() <= 3U);
    RC_ASSERT(board.Post(MakeNotice(NoticeKind::kWorkerLeaving, "w"), kNow, kTransmitLimit) ==
              NoticeOutcome::kKnown);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::membership
