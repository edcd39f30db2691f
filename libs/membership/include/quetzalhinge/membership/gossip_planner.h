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

/** Settings of a GossipPlanner. */
struct GossipOptions {
  /** Time between two rounds. The caller schedules the rounds. */
  std::chrono::milliseconds interval{250};
  /** Maximum size of a datagram, including the bytes that authentication adds. */
  std::size_t max_datagram_bytes = 1100;
  /** Bytes that authentication adds: auth::MessageAuthenticator::OverheadBytes(VM name size). */
  std::size_t envelope_bytes = 106;
  /** Number of peers to which a new notice is forwarded immediately. */
  std::size_t forward_peers = 3;
  /** Maximum number of heartbeats of other members in one message. */
  std::size_t max_heartbeats = kHeartbeatsPerMessage;
  /**
   * Fraction of the regular rounds that go to an active member of the local zone, if there is one;
   * the other rounds go to any peer. Traffic between zones costs more, and the state of members in
   * the local zone matters most.
   */
  double own_zone_share = 0;
  /** Maximum number of messages in the reply to a member that knows few others. */
  std::size_t join_reply_messages = 4;
};

/** A message and its destination. */
struct PlannedMessage {
  IpEndpoint to;
  GossipMessage message;
};

/** The effects of a received message. */
struct GossipReceipt {
  /** Notices that are new to this VM: apply them and forward them with PlanForward(). */
  std::vector<Notice> fresh_notices;
  /** Names of members that are new or whose record changed. */
  std::vector<std::string> changed_members;
  /** The sender's newest contract revision, for ContractBook::Confirm(). */
  std::uint64_t sender_revision = 0;
  /** The sender's state. A sender that is kStarting may not have read any contract yet. */
  MemberState sender_state = MemberState::kStarting;
  /**
   * The sender knows clearly fewer members than this VM, for instance after a restart: reply with
   * PlanJoinReply(). With 300 VMs, the records in regular rounds alone would take minutes.
   */
  bool is_sender_behind = false;
};

/** Chooses the content and the destination of gossip messages within a byte budget. Stateless. */
class GossipPlanner {
 public:
  explicit GossipPlanner(GossipOptions options = {});

  /**
   * Plans a regular round: increments the local heartbeat and addresses one random peer. The
   * message contains the local record, notices (new ones first), one record (changed ones first),
   * heartbeats (the youngest ones of the local zone and a random sample of the others) and, in the
   * remaining bytes, further records. It contains only active members and those that have just
   * ended.
   * @return std::nullopt if no peer is known
   */
  std::optional<PlannedMessage> PlanRound(MemberTable& table, NoticeBoard& board, TimePoint now,
                                          UnixMicros now_us, RandomGenerator& random) const;

  /**
   * Plans the immediate forwarding of new notices to `forward_peers` random peers; with no notices,
   * the messages announce a change of the local record. Call it once per receipt, or per Post()
   * that returned kNew. Notices beyond the byte budget are sent by the regular rounds.
   */
  std::vector<PlannedMessage> PlanForward(const MemberTable& table,
                                          const std::vector<Notice>& fresh_notices, TimePoint now,
                                          RandomGenerator& random) const;

  /**
   * Plans the reply to a member that knows few others: up to `join_reply_messages` messages, each
   * with different, randomly chosen records. A reply never triggers another reply.
   * @param to the sender's gossip endpoint, from its record
   */
  std::vector<PlannedMessage> PlanJoinReply(const MemberTable& table, const IpEndpoint& to,
                                            TimePoint now, RandomGenerator& random) const;

  /**
   * Merges an authenticated message into the table and the board. The caller must have checked that
   * the sender of the datagram is `message.sender.vm`.
   * @param queue_delay longest time that the datagram may have waited in the socket, for instance
   *     while the process was suspended
   */
  GossipReceipt Receive(const GossipMessage& message, MemberTable& table, NoticeBoard& board,
                        TimePoint now, UnixMicros now_us, Duration queue_delay = {}) const;

 private:
  std::size_t PayloadBudget() const noexcept;

  GossipOptions m_options;
};

}  // namespace qh::membership
