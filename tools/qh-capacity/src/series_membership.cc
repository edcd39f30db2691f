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
constexpr UnixMicros kTimestamp = 1'796'378'000'000'000;
constexpr int kRounds = 200;
const std::vector<std::size_t> kVmCounts{75, 150, 300, 600};

MemberRecord SampleRecord(std::size_t index) {
  MemberRecord record;
  record.vm = "entry-" + std::to_string(1000 + index);
  record.zone = "zone-" + std::to_string(index % 22);
  record.entry_incarnation = "6f0c2d91a46f0c2d";
  record.generation = static_cast<std::uint64_t>(kTimestamp);
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
  return MeasureAllocatedBytes([&] { return MakeTable(vms); });
}

/**
 * Runs kRounds gossip rounds to spread the initial records, then returns the mean of `measure` over
 * kRounds regular rounds.
 */
template <typename MeasureFunction>
double MeanOverRounds(std::size_t vms, const MeasureFunction& measure) {
  const auto table = MakeTable(vms);
  NoticeBoard board;
  RandomGenerator generator(1);
  const GossipPlanner planner;
  for (int i = 0; i < kRounds; ++i) {
    planner.PlanRound(*table, board, kNow, kTimestamp, generator);
  }
  return measure(*table, board, planner, generator) / kRounds;
}

double PlanRoundMicros(std::size_t vms) {
  return MeanOverRounds(vms, [](MemberTable& table, NoticeBoard& board,
                                const GossipPlanner& planner, RandomGenerator& generator) {
    return MeasureCpuMicros([&] {
      for (int i = 0; i < kRounds; ++i) {
        DoNotOptimize(planner.PlanRound(table, board, kNow, kTimestamp, generator));
      }
    });
  });
}

double MessageBytes(std::size_t vms) {
  return MeanOverRounds(vms, [](MemberTable& table, NoticeBoard& board,
                                const GossipPlanner& planner, RandomGenerator& generator) {
    double bytes = 0;
    for (int i = 0; i < kRounds; ++i) {
      const auto planned = planner.PlanRound(table, board, kNow, kTimestamp, generator);
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
      messages.push_back(planner.PlanRound(table, board, kNow, kTimestamp, generator)->message);
      messages.back().sender = SampleRecord(1 + static_cast<std::size_t>(i) % 70);
    }
    return MeasureCpuMicros([&] {
      for (const GossipMessage& message : messages) {
        DoNotOptimize(planner.Receive(message, table, board, kNow, kTimestamp));
      }
    });
  });
}

/** Time to list the active members, as qh-control does for each message that it receives. */
double ActiveMembersMicros(std::size_t vms) {
  const auto table = MakeTable(vms);
  return MeasureCpuMicros([&] {
           for (int i = 0; i < kRounds; ++i) {
             DoNotOptimize(table->ActiveMembers(kNow));
           }
         }) /
         kRounds;
}

}  // namespace

std::vector<Series> MembershipSeries() {
  return {{"member.table_memory", "entry VM", "B", kVmCounts, TableBytes},
          {"member.plan_round", "entry VM", "us", kVmCounts, PlanRoundMicros},
          {"member.receive", "entry VM", "us", kVmCounts, ReceiveMicros},
          {"member.list_heard", "entry VM", "us", kVmCounts, ActiveMembersMicros},
          {"member.message_size", "entry VM", "B", kVmCounts, MessageBytes}};
}

}  // namespace qh::capacity
