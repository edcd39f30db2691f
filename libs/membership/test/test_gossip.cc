#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>

#include "quetzalhinge/membership/gossip_planner.h"

namespace qh::membership {
namespace {

using std::chrono::milliseconds;

struct VirtualDeploymentOptions {
  std::size_t vm_count = 15;
  std::size_t zones = 1;
  /** Probability that a message is lost. */
  double loss = 0.2;
  milliseconds base_suspect_after{3000};
  GossipOptions gossip;
};

/** Simulates VMs that exchange gossip messages in virtual time. */
class VirtualDeployment {
 public:
  VirtualDeployment(const VirtualDeploymentOptions& deployment, std::uint64_t seed)
      : m_random(seed), m_options(deployment), m_planner(deployment.gossip) {
    MemberTableOptions options;
    options.vm_count = deployment.vm_count;
    options.base_suspect_after = deployment.base_suspect_after;
    for (std::size_t i = 0; i < deployment.vm_count; ++i) {
      m_nodes.push_back(std::make_unique<Node>(MakeSelf(i, deployment.zones), options));
      m_nodes.back()->table.SetSeeds(AllEndpoints(deployment.vm_count));
      Schedule(milliseconds(RandomBelow(static_cast<int>(deployment.gossip.interval.count()))),
               [this, i] { RunRound(i); });
    }
  }

  void RunFor(milliseconds duration) {
    const milliseconds end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      const auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
  }

  void Announce(std::size_t i, const std::string& worker) {
    const Notice notice{NoticeKind::kWorkerLeaving, worker, "", 0, NowUs(), milliseconds(60000)};
    Node& node = *m_nodes[i];
    node.board.Post(notice, NowUs(), node.table.TransmitLimit());
    Forward(i, {notice});
  }

  void Stop(std::size_t i) { m_nodes[i]->is_stopped = true; }

  /** Suspends a VM. Messages sent to it meanwhile are delivered when it resumes. */
  void Suspend(std::size_t i, milliseconds duration) {
    Node& node = *m_nodes[i];
    node.is_suspended = true;
    Schedule(duration, [this, &node, i, duration] {
      node.is_suspended = false;
      for (const GossipMessage& message : std::exchange(node.queued_messages, {})) {
        Deliver(i, message, duration);
      }
    });
  }

  /** Returns how many running VMs would list `i` in address responses. */
  std::size_t CountVmsThatList(std::size_t i, milliseconds max_silence) const {
    const std::string vm = m_nodes[i]->table.Self().vm;
    return CountNodes([&](const Node& node) {
      const auto serving = node.table.ServingMembers(Time(), max_silence);
      return !node.is_suspended &&
             std::any_of(serving.begin(), serving.end(),
                         [&](const MemberRecord& record) { return record.vm == vm; });
    });
  }

  /**
   * Returns the fraction of its own zone that a VM lists in address responses, averaged over VMs.
   */
  double MeanShareListedInOwnZone(milliseconds max_silence) const {
    double sum = 0;
    for (const auto& node : m_nodes) {
      const std::string& zone = node->table.Self().zone;
      const auto serving = node->table.ServingMembers(Time(), max_silence);
      sum += static_cast<double>(
                 std::count_if(serving.begin(), serving.end(),
                               [&](const MemberRecord& record) { return record.zone == zone; })) /
             static_cast<double>(
                 CountNodes([&](const Node& other) { return other.table.Self().zone == zone; }));
    }
    return sum / static_cast<double>(m_nodes.size());
  }

  void Leave(std::size_t i) { m_nodes[i]->table.SetOwnState(MemberState::kLeaving, "0f"); }

  /** Returns how many running VMs have an empty notice board. */
  std::size_t CountWithoutNotice() const {
    return CountNodes([](const Node& node) { return node.board.Size() == 0; });
  }

  /** Runs until each running VM lists `serving` members; returns false if that exceeds `limit`. */
  bool RunUntilServing(std::size_t serving, milliseconds limit) {
    const milliseconds end = m_now + limit;
    const auto is_wrong = [&](const Node& node) {
      return node.table.ServingMembers(Time()).size() != serving;
    };
    while (CountNodes(is_wrong) > 0 && m_now < end) {
      RunFor(milliseconds(50));
    }
    return CountNodes(is_wrong) == 0;
  }

  /** Counts the ordered pairs (a, b) in which VM b is not active in the table of VM a. */
  std::size_t CountInactivePairs() const {
    std::size_t inactive = 0;
    for (const auto& node : m_nodes) {
      inactive += m_nodes.size() - 1 - node->table.ActiveMembers(Time()).size();
    }
    return inactive;
  }

  std::size_t LargestDatagram() const { return m_largest; }
  std::size_t TotalBytes() const { return m_bytes; }

 private:
  struct Node {
    Node(MemberRecord self, const MemberTableOptions& options) : table(std::move(self), options) {}
    MemberTable table;
    NoticeBoard board;
    bool is_stopped = false;
    bool is_suspended = false;
    std::vector<GossipMessage> queued_messages;
  };

  static IpEndpoint EndpointOf(std::size_t i) { return {"10.0.0.1", static_cast<uint16_t>(i + 1)}; }

  /** Returns the seeds, as the platform's VM list provides them. */
  static std::vector<IpEndpoint> AllEndpoints(std::size_t vm_count) {
    std::vector<IpEndpoint> endpoints;
    for (std::size_t i = 0; i < vm_count; ++i) {
      endpoints.push_back(EndpointOf(i));
    }
    return endpoints;
  }

  static MemberRecord MakeSelf(std::size_t i, std::size_t zones) {
    MemberRecord record;
    record.vm = "jawa-timur-" + std::to_string(i);
    record.zone = "jawa-timur-" + std::to_string(i % zones);
    record.entry_incarnation = "6f0c2d91a46f0c2d";
    record.generation = 1 + i;
    record.slot = static_cast<std::uint16_t>(i);
    record.state = MemberState::kLive;
    record.endpoints.gossip = EndpointOf(i);
    return record;
  }

  template <typename Condition>
  std::size_t CountNodes(Condition condition) const {
    return static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(),
                      [&](const auto& node) { return !node->is_stopped && condition(*node); }));
  }

  TimePoint Time() const { return TimePoint(m_now); }
  UnixMicros NowUs() const { return 1'000'000'000 + std::chrono::microseconds(m_now).count(); }
  int RandomBelow(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }

  template <typename Action>
  void Schedule(milliseconds delay, Action action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  void RunRound(std::size_t i) {
    Node& node = *m_nodes[i];
    if (node.is_stopped) {
      return;
    }
    if (node.is_suspended) {
      Schedule(m_options.gossip.interval, [this, i] { RunRound(i); });
      return;
    }
    const auto planned = m_planner.PlanRound(node.table, node.board, Time(), NowUs(), m_random);
    if (planned.has_value()) {
      Send(*planned);
    }
    Schedule(m_options.gossip.interval, [this, i] { RunRound(i); });
  }

  void Forward(std::size_t i, const std::vector<Notice>& fresh) {
    SendAll(m_planner.PlanForward(m_nodes[i]->table, fresh, Time(), m_random));
  }

  void SendAll(const std::vector<PlannedMessage>& messages) {
    for (const PlannedMessage& planned : messages) {
      Send(planned);
    }
  }

  void Send(const PlannedMessage& planned) {
    const std::size_t bytes = EncodedBytes(planned.message) + GossipOptions().envelope_bytes;
    m_largest = std::max(m_largest, bytes);
    m_bytes += bytes;
    if (std::bernoulli_distribution(m_options.loss)(m_random)) {
      return;
    }
    const std::size_t to = planned.to.port - 1U;
    Schedule(milliseconds(1 + RandomBelow(5)),
             [this, to, message = planned.message] { Deliver(to, message); });
  }

  void Deliver(std::size_t i, const GossipMessage& message,
               milliseconds queue_delay = milliseconds(0)) {
    Node& node = *m_nodes[i];
    if (node.is_stopped) {
      return;
    }
    if (node.is_suspended) {
      node.queued_messages.push_back(message);
      return;
    }
    const GossipReceipt receipt =
        m_planner.Receive(message, node.table, node.board, Time(), NowUs(), queue_delay);
    if (!receipt.fresh_notices.empty()) {
      Forward(i, receipt.fresh_notices);
    }
    if (receipt.is_sender_behind) {
      SendAll(
          m_planner.PlanJoinReply(node.table, message.sender.endpoints.gossip, Time(), m_random));
    }
  }

  RandomGenerator m_random;
  VirtualDeploymentOptions m_options;
  GossipPlanner m_planner;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::multimap<milliseconds, std::function<void()>> m_events;
  milliseconds m_now{0};
  std::size_t m_largest = 0;
  std::size_t m_bytes = 0;
};

TEST_CASE("Gossip works among 15 VMs with 20% message loss") {
  // Guards against notices that do not reach all VMs, members that are never discovered, and
  // stopped members that are never suspected.
  const bool holds = rc::check([] {
    VirtualDeployment deployment({}, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(deployment.RunUntilServing(15, milliseconds(10000)));
    deployment.Announce(static_cast<std::size_t>(*rc::gen::inRange(0, 15)), "w1");
    deployment.RunFor(milliseconds(3000));
    RC_ASSERT(deployment.CountWithoutNotice() == 0U);
    deployment.Stop(3);
    deployment.Leave(4);
    RC_ASSERT(deployment.RunUntilServing(13, milliseconds(10000)));
    RC_ASSERT(deployment.LargestDatagram() <= 1100U);
  });
  CHECK(holds);
}

TEST_CASE("Gossip works among 300 VMs with 20% message loss") {
  VirtualDeploymentOptions options;
  options.vm_count = 300;
  VirtualDeployment deployment(options, 20261204);
  deployment.RunFor(milliseconds(30000));
  const std::size_t bytes_per_second = deployment.TotalBytes() / 300 / 30;
  const std::size_t inactive_pairs = deployment.CountInactivePairs();
  deployment.Announce(7, "w1");
  deployment.RunFor(milliseconds(3000));
  CAPTURE(inactive_pairs, bytes_per_second);
  // All VMs start at the same time, which is the worst case for learning records.
  CHECK(inactive_pairs < 300 * 299 / 10);
  // Guards against replies that trigger further replies.
  CHECK(bytes_per_second < 11000);
  CHECK(deployment.CountWithoutNotice() == 0);
  CHECK(deployment.LargestDatagram() <= 1100);
}

// Guards against stale heartbeats: a VM is switched off while a quarter of the others is suspended.
// The heartbeats that a suspended VM received before must not look new when it resumes.
TEST_CASE("131 VMs stop listing a VM that is switched off") {
  constexpr milliseconds kMaxSilence{3000};
  VirtualDeploymentOptions options;
  options.vm_count = 131;
  options.zones = 3;
  options.loss = 0.02;
  options.base_suspect_after = milliseconds(5000);
  options.gossip.interval = milliseconds(300);
  options.gossip.max_datagram_bytes = 1000;
  options.gossip.own_zone_share = 0.75;
  VirtualDeployment deployment(options, 117184118208);
  // It takes a minute until all records have spread after a simultaneous start.
  deployment.RunFor(milliseconds(60000));

  SECTION("while they list most of the others") {
    CAPTURE(deployment.CountInactivePairs());
    CHECK(deployment.MeanShareListedInOwnZone(kMaxSilence) > 0.95);
    // Heartbeats of other zones use only the bytes that the local zone leaves.
    CHECK(deployment.CountInactivePairs() < 131 * 130 / 100);
  }
  SECTION("within the maximum silence") {
    deployment.Stop(5);
    deployment.RunFor(milliseconds(500));
    for (std::size_t i = 20; i < 53; ++i) {
      deployment.Suspend(i, milliseconds(3000));
    }
    deployment.RunFor(kMaxSilence + milliseconds(100));
    CHECK(deployment.CountVmsThatList(5, kMaxSilence) == 0);
    deployment.RunFor(milliseconds(1000));
    CHECK(deployment.CountVmsThatList(5, kMaxSilence) == 0);
  }
}

// Guards against a zone so large that its heartbeats leave no room for those of other zones.
TEST_CASE("A message from a large zone contains heartbeats of other zones too") {
  constexpr int kOwnZoneMembers = 200;
  constexpr int kOtherZones = 100;
  MemberRecord self;
  self.vm = "self";
  self.zone = "timur";
  MemberTable table(self);
  const TimePoint now{milliseconds(1000)};
  for (int i = 0; i < kOwnZoneMembers + kOtherZones; ++i) {
    MemberRecord record = self;
    record.vm = std::to_string(i);
    record.zone = i < kOwnZoneMembers ? "timur" : "barat";
    record.slot = static_cast<std::uint16_t>(i);
    record.endpoints.gossip = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    record.heartbeat_age = milliseconds(i < kOwnZoneMembers / 2 ? 900 : 100);
    table.Merge(record, now);
  }
  NoticeBoard board;
  RandomGenerator random(20261204);
  const auto planned = GossipPlanner().PlanRound(table, board, now, 1, random);
  REQUIRE(planned.has_value());
  const auto count = [&](auto matches) {
    return std::count_if(planned->message.heartbeats.begin(), planned->message.heartbeats.end(),
                         matches);
  };
  const auto own =
      count([](const HeartbeatDigest& digest) { return digest.slot < kOwnZoneMembers; });
  const auto others =
      count([](const HeartbeatDigest& digest) { return digest.slot >= kOwnZoneMembers; });
  CHECK(own > others);
  CHECK(others >= own / 5);
  // For the local zone, it contains only the youngest heartbeats.
  CHECK(count([](const HeartbeatDigest& digest) { return digest.slot < kOwnZoneMembers / 2; }) ==
        0);
}

TEST_CASE("A message fits into a datagram whatever it contains") {
  // Guards against datagrams that are truncated or dropped in transit because they are too large.
  const bool holds = rc::check([] {
    const auto length = [](std::size_t max) {
      return std::string(*rc::gen::inRange<std::size_t>(1, max + 1), 'x');
    };
    MemberRecord self;
    self.vm = length(kMaxMemberNameBytes);
    self.zone = length(kMaxMemberNameBytes);
    MemberTable table(self);
    NoticeBoard board;
    const int count = *rc::gen::inRange(0, 200);
    for (int i = 0; i < count; ++i) {
      MemberRecord record = self;
      record.vm = std::to_string(i);
      record.entry_incarnation = length(kMaxMemberNameBytes);
      record.endpoints.gossip = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
      table.Merge(record, {});
      board.Post({NoticeKind::kSuspectFingerprint, std::to_string(i), length(kMaxNoticeTextBytes),
                  0, 1, kMaxNoticeLifetime},
                 1, table.TransmitLimit());
    }
    RandomGenerator random(*rc::gen::arbitrary<std::uint64_t>());
    const GossipPlanner planner;
    std::vector<PlannedMessage> planned = planner.PlanJoinReply(table, {}, {}, random);
    std::vector<Notice> notices;
    for (const PostedNotice* posted : board.Notices()) {
      notices.push_back(posted->notice);
    }
    for (PlannedMessage& message : planner.PlanForward(table, notices, {}, random)) {
      planned.push_back(std::move(message));
    }
    if (auto round = planner.PlanRound(table, board, {}, 1, random)) {
      RC_ASSERT(round->message.records.size() + round->message.heartbeats.size() > 0U);
      planned.push_back(std::move(*round));
    }
    for (const PlannedMessage& message : planned) {
      RC_ASSERT(EncodedBytes(message.message) + GossipOptions().envelope_bytes <= 1100U);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::membership
