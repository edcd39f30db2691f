#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/membership/gossip_message.h"
#include "quetzalhinge/membership/member_table.h"
#include "quetzalhinge/membership/notice_board.h"

namespace qh::membership {

/** Bounds of a GossipPlanner. */
struct GossipOptions {
  /** Time between two rounds; the caller keeps it. */
  std::chrono::milliseconds interval{250};
  /** Largest datagram, with what authentication adds. */
  std::size_t max_datagram_bytes = 1100;
  /** What authentication adds: auth::MessageAuthenticator::OverheadBytes(name of this VM). */
  std::size_t envelope_bytes = 106;
  /** Peers to which a fresh notice is forwarded at once. */
  std::size_t forward_peers = 3;
  /** Heartbeats of other members in one message, at most. */
  std::size_t max_heartbeats = kHeartbeatsPerMessage;
  /**
   * Part of the regular rounds that go to a member of the own zone, if one is heard from; the other
   * rounds go to any peer. Bytes between zones cost more, and what matters most is near.
   */
  double own_zone_share = 0;
  /** Messages full of records that answer a member that knows few. */
  std::size_t join_reply_messages = 4;
};

/** A message and where to send it. */
struct PlannedMessage {
  IpEndpoint to;
  GossipMessage message;
};

/** What a received message brought. */
struct GossipReceipt {
  /** Notices that are news here: act on them and forward them with PlanForward(). */
  std::vector<Notice> fresh_notices;
  /** Members that are new or changed, by name. */
  std::vector<std::string> changed_members;
  /** The sender's newest contract revision, for ContractBook::Confirm(). */
  std::uint64_t sender_revision = 0;
  /** The sender's state; one that is kStarting may not have read any contract yet. */
  MemberState sender_state = MemberState::kStarting;
  /**
   * The sender knows clearly fewer members than this VM, as after its start: answer it with
   * PlanJoinReply(). The samples of the regular rounds alone would take minutes at 300 VMs.
   */
  bool is_sender_behind = false;
};

/** Decides what to gossip to whom, within the byte budget. Keeps no state of its own. */
class GossipPlanner {
 public:
  explicit GossipPlanner(GossipOptions options = {});

  /**
   * Plans a regular round: raises the own heartbeat and addresses one random peer, with the own
   * record, notices (fresh ones first), changed records, the youngest heartbeats and, in the bytes
   * left, records. Only members that are heard from are passed on.
   * @return nothing if no peer is known
   */
  std::optional<PlannedMessage> PlanRound(MemberTable& table, NoticeBoard& board, TimePoint now,
                                          UnixMicros now_us, RandomGenerator& random) const;

  /**
   * Plans the immediate forwarding of fresh notices (or, with none, of an own record that has just
   * changed) to `forward_peers` random peers. Call it once per receipt or per Post() with kNew.
   * Notices beyond the byte budget are left to the regular rounds.
   */
  std::vector<PlannedMessage> PlanForward(const MemberTable& table,
                                          const std::vector<Notice>& fresh_notices, TimePoint now,
                                          RandomGenerator& random) const;

  /**
   * Plans the answer to a member that knows few others: `join_reply_messages` messages with
   * different random records. The answer never asks for an answer itself.
   * @param to the sender's gossip endpoint, from its record
   */
  std::vector<PlannedMessage> PlanJoinReply(const MemberTable& table, const IpEndpoint& to,
                                            TimePoint now, RandomGenerator& random) const;

  /**
   * Takes an authenticated message into the table and the board. The caller has checked that the
   * datagram's sender is `message.sender.vm`.
   * @param queue_delay how long the datagram may have waited here, as while the process stood
   * still
   */
  GossipReceipt Receive(const GossipMessage& message, MemberTable& table, NoticeBoard& board,
                        TimePoint now, UnixMicros now_us, Duration queue_delay = {}) const;

 private:
  std::size_t PayloadBudget() const noexcept;

  GossipOptions m_options;
};

}  // namespace qh::membership
