#include "quetzalhinge/membership/gossip_planner.h"

#include <algorithm>
#include <utility>

namespace qh::membership {
namespace {

/** Share of a message for notices; the rest is reserved for heartbeats and records. */
constexpr double kNoticeShare = 0.4;
/**
 * Share of the heartbeats for members of the local zone. Without this limit, the messages of a
 * large zone would carry no heartbeats of other zones.
 */
constexpr double kOwnZoneHeartbeatShare = 0.8;
/** A sender that knows less than this share of the active members receives a join reply. */
constexpr double kJoinReplyThreshold = 0.98;

/** Tracks the bytes that remain in a message. */
class ByteBudget {
 public:
  ByteBudget(std::size_t max_bytes, const GossipMessage& message) noexcept
      : m_remaining(max_bytes - std::min(max_bytes, EncodedBytes(message))) {}

  /** Reserves the bytes of `part` if enough remain; returns whether it did. */
  template <typename Part>
  bool TryReserve(const Part& part) noexcept {
    const std::size_t bytes = EncodedBytes(part);
    if (bytes > m_remaining) {
      return false;
    }
    m_remaining -= bytes;
    return true;
  }

  /** Returns how many parts of the size of `part` fit into the remaining bytes. */
  template <typename Part>
  std::size_t CountThatFits(const Part& part) const noexcept {
    return m_remaining / EncodedBytes(part);
  }

  /** Moves a share of the remaining bytes into a separate budget. */
  ByteBudget SplitOff(double share) noexcept {
    ByteBudget part;
    part.m_remaining = static_cast<std::size_t>(static_cast<double>(m_remaining) * share);
    m_remaining -= part.m_remaining;
    return part;
  }

  /** Adds the unused bytes of a budget from SplitOff() back to this one. */
  void ReturnUnused(const ByteBudget& part) noexcept { m_remaining += part.m_remaining; }

 private:
  ByteBudget() = default;

  std::size_t m_remaining = 0;
};

/**
 * Above this number of changed records, for instance after a simultaneous start of all VMs, a
 * message carries fewer heartbeats and more records.
 */
constexpr std::size_t kManyChangedRecords = 8;
constexpr std::size_t kMaxHeartbeatsWithManyChanges = 32;

/** Shuffles the candidates and moves those with transmits left to the front. */
template <typename Candidate>
void ShuffleChangedFirst(std::vector<const Candidate*>& candidates, RandomGenerator& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::stable_partition(candidates.begin(), candidates.end(),
                        [](const Candidate* candidate) { return candidate->transmits_left > 0; });
}

std::size_t CountChanged(const std::vector<const Member*>& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const Member* member) { return member->transmits_left > 0; }));
}

void AddNotices(NoticeBoard& board, ByteBudget& budget, GossipMessage& message,
                RandomGenerator& random) {
  std::vector<const PostedNotice*> candidates = board.Notices();
  ShuffleChangedFirst(candidates, random);
  for (const PostedNotice* posted : candidates) {
    if (budget.TryReserve(posted->notice)) {
      message.notices.push_back(posted->notice);
    }
  }
  for (const Notice& notice : message.notices) {
    board.RecordTransmit(notice);
  }
}

std::chrono::milliseconds AgeOf(const Member& member, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - member.incremented_at);
}

/**
 * Adds the youngest heartbeats of the local zone and a random sample of the others. Callers are
 * directed to VMs of their own zone, so these heartbeats need to be recent, and the youngest ones
 * are the least likely to be known to the receiver already.
 */
void AddHeartbeats(std::vector<const Member*> active_members, std::size_t max_count,
                   ByteBudget& budget, GossipMessage& message, TimePoint now,
                   RandomGenerator& random) {
  const std::size_t max_digests = std::min(max_count, budget.CountThatFits(HeartbeatDigest{}));
  const auto max_own_zone =
      static_cast<std::ptrdiff_t>(static_cast<double>(max_digests) * kOwnZoneHeartbeatShare);
  std::shuffle(active_members.begin(), active_members.end(), random);
  const auto others = std::partition(
      active_members.begin(), active_members.end(),
      [&](const Member* member) { return member->record.zone == message.sender.zone; });
  std::sort(active_members.begin(), others,
            [](const Member* a, const Member* b) { return a->incremented_at > b->incremented_at; });
  // Members of the local zone beyond their share go after the members of other zones.
  if (others - active_members.begin() > max_own_zone) {
    std::rotate(active_members.begin() + max_own_zone, others, active_members.end());
  }
  active_members.resize(std::min(active_members.size(), max_digests));
  for (const Member* member : active_members) {
    const MemberRecord& record = member->record;
    const HeartbeatDigest digest{record.slot, GenerationTag(record), record.heartbeat,
                                 AgeOf(*member, now)};
    if (!budget.TryReserve(digest)) {
      return;
    }
    message.heartbeats.push_back(digest);
  }
}

/** Returns the members whose records are worth sending: active ones and those that just ended. */
std::vector<const Member*> RecordCandidates(const MemberTable& table, TimePoint now,
                                            RandomGenerator& random) {
  std::vector<const Member*> candidates = table.AllMembers();
  std::erase_if(candidates, [&](const Member* member) {
    const bool has_just_ended =
        member->record.state == MemberState::kGone && member->transmits_left > 0;
    return !has_just_ended && !table.IsActive(member->record.vm, now);
  });
  ShuffleChangedFirst(candidates, random);
  return candidates;
}

void AddRecords(std::vector<const Member*>& candidates, std::size_t max_count, ByteBudget& budget,
                GossipMessage& message, TimePoint now) {
  std::size_t added = 0;
  while (added < max_count && !candidates.empty() &&
         budget.TryReserve(candidates.front()->record)) {
    message.records.push_back(candidates.front()->record);
    message.records.back().heartbeat_age = AgeOf(*candidates.front(), now);
    candidates.erase(candidates.begin());
    ++added;
  }
}

}  // namespace

GossipPlanner::GossipPlanner(GossipOptions options) : m_options(options) {}

namespace {

std::vector<IpEndpoint> PeersOfOwnZone(const MemberTable& table, TimePoint now) {
  std::vector<IpEndpoint> peers;
  for (const Member* member : table.ActiveMembers(now)) {
    if (member->record.zone == table.Self().zone) {
      peers.push_back(member->record.endpoints.gossip);
    }
  }
  return peers;
}

}  // namespace

std::optional<PlannedMessage> GossipPlanner::PlanRound(MemberTable& table, NoticeBoard& board,
                                                       TimePoint now, UnixMicros now_us,
                                                       RandomGenerator& random) const {
  table.IncrementHeartbeat();
  board.Expire(now_us);
  const std::vector<IpEndpoint> peers = table.GossipPeers(now);
  if (peers.empty()) {
    return std::nullopt;
  }
  PlannedMessage planned;
  std::sample(peers.begin(), peers.end(), &planned.to, 1, random);
  if (std::bernoulli_distribution(m_options.own_zone_share)(random)) {
    const std::vector<IpEndpoint> own_zone_peers = PeersOfOwnZone(table, now);
    std::sample(own_zone_peers.begin(), own_zone_peers.end(), &planned.to, 1, random);
  }
  GossipMessage& message = planned.message;
  message.sender = table.Self();
  message.known_members = static_cast<std::uint16_t>(
      std::min<std::size_t>(table.ActiveMembers(now).size(), kNoReplyRequested));
  ByteBudget budget(PayloadBudget(), message);
  ByteBudget notice_budget = budget.SplitOff(kNoticeShare);
  AddNotices(board, notice_budget, message, random);
  budget.ReturnUnused(notice_budget);
  // One record precedes the heartbeats, so that changes spread in a large deployment too.
  std::vector<const Member*> candidates = RecordCandidates(table, now, random);
  const std::size_t max_heartbeats =
      CountChanged(candidates) > kManyChangedRecords
          ? std::min(m_options.max_heartbeats, kMaxHeartbeatsWithManyChanges)
          : m_options.max_heartbeats;
  AddRecords(candidates, 1, budget, message, now);
  AddHeartbeats(table.ActiveMembers(now), max_heartbeats, budget, message, now, random);
  AddRecords(candidates, candidates.size(), budget, message, now);
  for (const MemberRecord& record : message.records) {
    table.RecordTransmit(record.vm);
  }
  return planned;
}

std::vector<PlannedMessage> GossipPlanner::PlanForward(const MemberTable& table,
                                                       const std::vector<Notice>& fresh_notices,
                                                       TimePoint now,
                                                       RandomGenerator& random) const {
  GossipMessage message;
  message.sender = table.Self();
  ByteBudget budget(PayloadBudget(), message);
  for (const Notice& notice : fresh_notices) {
    if (budget.TryReserve(notice)) {
      message.notices.push_back(notice);
    }
  }
  const std::vector<IpEndpoint> peers = table.GossipPeers(now);
  std::vector<IpEndpoint> chosen;
  std::sample(peers.begin(), peers.end(), std::back_inserter(chosen), m_options.forward_peers,
              random);
  std::vector<PlannedMessage> planned;
  planned.reserve(chosen.size());
  for (const IpEndpoint& peer : chosen) {
    planned.push_back({peer, message});
  }
  return planned;
}

std::vector<PlannedMessage> GossipPlanner::PlanJoinReply(const MemberTable& table,
                                                         const IpEndpoint& to, TimePoint now,
                                                         RandomGenerator& random) const {
  std::vector<const Member*> candidates = table.ActiveMembers(now);
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::vector<PlannedMessage> planned;
  while (!candidates.empty() && planned.size() < m_options.join_reply_messages) {
    PlannedMessage reply{to, {}};
    reply.message.sender = table.Self();
    ByteBudget budget(PayloadBudget(), reply.message);
    AddRecords(candidates, candidates.size(), budget, reply.message, now);
    planned.push_back(std::move(reply));
  }
  return planned;
}

GossipReceipt GossipPlanner::Receive(const GossipMessage& message, MemberTable& table,
                                     NoticeBoard& board, TimePoint now, UnixMicros now_us,
                                     Duration queue_delay) const {
  GossipReceipt receipt;
  receipt.sender_revision = message.sender.revision;
  receipt.sender_state = message.sender.state;
  const auto merge = [&](const MemberRecord& record) {
    const MergeOutcome outcome = table.Merge(record, now, queue_delay);
    if (outcome == MergeOutcome::kNewMember || outcome == MergeOutcome::kChanged) {
      receipt.changed_members.push_back(record.vm);
    }
  };
  merge(message.sender);
  std::for_each(message.records.begin(), message.records.end(), merge);
  for (const HeartbeatDigest& digest : message.heartbeats) {
    table.MergeHeartbeat(digest, now, queue_delay);
  }
  for (const Notice& notice : message.notices) {
    if (board.Post(notice, now_us, table.TransmitLimit()) == NoticeOutcome::kNew) {
      receipt.fresh_notices.push_back(notice);
    }
  }
  const auto active_count = static_cast<double>(table.ActiveMembers(now).size());
  receipt.is_sender_behind = message.known_members < kJoinReplyThreshold * active_count;
  return receipt;
}

std::size_t GossipPlanner::PayloadBudget() const noexcept {
  return m_options.max_datagram_bytes -
         std::min(m_options.max_datagram_bytes, m_options.envelope_bytes);
}

}  // namespace qh::membership
