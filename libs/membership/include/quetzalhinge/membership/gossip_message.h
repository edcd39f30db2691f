#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quetzalhinge/membership/member_record.h"
#include "quetzalhinge/membership/notice.h"

namespace qh::membership {

/** Value of GossipMessage::known_members that never brings an answer. */
inline constexpr std::uint16_t kNoReplyRequested = UINT16_MAX;

/** One gossip datagram before it is encoded. */
struct GossipMessage {
  /** The sender's own record. */
  MemberRecord sender;
  /**
   * How many other members the sender hears from. A receiver that knows more sends it records. Only
   * regular rounds carry it: answers that bring answers filled the network in a trial.
   */
  std::uint16_t known_members = kNoReplyRequested;
  std::vector<Notice> notices;
  std::vector<HeartbeatDigest> heartbeats;
  /** Records of other members. */
  std::vector<MemberRecord> records;
};

/**
 * Upper bounds on the size of the parts in unpacked Cap'n Proto, which the encoder has to keep:
 * texts as Text, an endpoint as UInt32 address and UInt16 port, numbers and enums in their own
 * width, a HeartbeatDigest as a struct of one data word, lists as composite lists.
 */
std::size_t EncodedBytes(const MemberRecord& record) noexcept;
std::size_t EncodedBytes(const Notice& notice) noexcept;
std::size_t EncodedBytes(const HeartbeatDigest& digest) noexcept;

/** Returns the upper bound for a whole message, framing included. */
std::size_t EncodedBytes(const GossipMessage& message) noexcept;

}  // namespace qh::membership
