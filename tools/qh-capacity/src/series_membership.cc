#include <memory>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/membership/gossip_planner.h"
#include "quetzalhinge/membership/member_table.h"
#include "quetzalhinge/membership/notice_board.h"

namespace qh::capacity {
namespace {

using membership::GossipMessage;
using membership::GossipPlanner;
using membership::MemberRecord;
using membership::MemberTable;
using membership::NoticeBoard;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr UnixMicros kStamp = 1'796'378'000'000'000;
constexpr int kRounds = 200;
const std::vector<std::size_t> kVmCounts{75, 150, 300, 600};

MemberRecord SampleRecord(std::size_t index) {
  MemberRecord record;
  record.vm = "entry-" + std::to_string(1000 + index);
  record.zone = "zone-" + std::to_string(index % 22);
  record.entry_incarnation = "6f0c2d91a46f0c2d";
  record.generation = static_cast<std::uint64_t>(kStamp);
  record.heartbeat = 100;
  record.revision = 12'000;
  record.slot = static_cast<std::uint16_t>(index);
  record.state = membership::MemberState::kLive;
  const std::string ip = "10.30." + std::to_string(index / 250) + "." + std::to_string(index % 250);
  record.endpoints.calls = {ip, 8000};
  record.endpoints.entry_rpc = {ip, 8005};
  record.endpoints.control_rpc = {ip, 8004};
  record.endpoints.gossip = {ip, 8003};
  return record;
}

std::unique_ptr<MemberTable> MakeTable(std::size_t vms) {
  membership::MemberTableOptions options;
  options.vm_count = vms;
  auto table = std::make_unique<MemberTable>(SampleRecord(0), options);
  for (std::size_t i = 1; i < vms; ++i) {
    table->Merge(SampleRecord(i), kNow);
  }
  return table;
}

double TableBytes(std::size_t vms) {
  return BytesOf([&] { return MakeTable(vms); });
}

/** Mean over kRounds regular rounds, after the records of the start have been spread. */
template <typename Figure>
double MeanOverRounds(std::size_t vms, const Figure& figure) {
  const auto table = MakeTable(vms);
  NoticeBoard board;
  RandomGenerator generator(1);
  const GossipPlanner planner;
  for (int i = 0; i < kRounds; ++i) {
    planner.PlanRound(*table, board, kNow, kStamp, generator);
  }
  return figure(*table, board, planner, generator) / kRounds;
}

double PlanMicros(std::size_t vms) {
  return MeanOverRounds(vms, [](MemberTable& table, NoticeBoard& board,
                                const GossipPlanner& planner, RandomGenerator& generator) {
    return MicrosOf([&] {
      for (int i = 0; i < kRounds; ++i) {
        KeepResult(planner.PlanRound(table, board, kNow, kStamp, generator));
      }
    });
  });
}

double MessageBytes(std::size_t vms) {
  return MeanOverRounds(vms, [](MemberTable& table, NoticeBoard& board,
                                const GossipPlanner& planner, RandomGenerator& generator) {
    double bytes = 0;
    for (int i = 0; i < kRounds; ++i) {
      const auto planned = planner.PlanRound(table, board, kNow, kStamp, generator);
      bytes += static_cast<double>(membership::EncodedBytes(planned->message));
    }
    return bytes;
  });
}

double ReceiveMicros(std::size_t vms) {
  return MeanOverRounds(vms, [](MemberTable& table, NoticeBoard& board,
                                const GossipPlanner& planner, RandomGenerator& generator) {
    std::vector<GossipMessage> messages;
    for (int i = 0; i < kRounds; ++i) {
      messages.push_back(planner.PlanRound(table, board, kNow, kStamp, generator)->message);
      messages.back().sender = SampleRecord(1 + static_cast<std::size_t>(i) % 70);
    }
    return MicrosOf([&] {
      for (const GossipMessage& message : messages) {
        KeepResult(planner.Receive(message, table, board, kNow, kStamp));
      }
    });
  });
}

/** What qh-control does with the member table for each message that it receives. */
double HeardMembersMicros(std::size_t vms) {
  const auto table = MakeTable(vms);
  return MicrosOf([&] {
           for (int i = 0; i < kRounds; ++i) {
             KeepResult(table->ActiveMembers(kNow));
           }
         }) /
         kRounds;
}

}  // namespace

std::vector<Series> MembershipSeries() {
  return {{"member.table_memory", "entry VM", "B", kVmCounts, TableBytes},
          {"member.plan_round", "entry VM", "us", kVmCounts, PlanMicros},
          {"member.receive", "entry VM", "us", kVmCounts, ReceiveMicros},
          {"member.list_heard", "entry VM", "us", kVmCounts, HeardMembersMicros},
          {"member.message_size", "entry VM", "B", kVmCounts, MessageBytes}};
}

}  // namespace qh::capacity
