#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quetzalhinge/membership/member_record.h"
#include "quetzalhinge/membership/notice.h"

namespace qh::membership {

/** Value of GossipMessage::known_members that never triggers a reply with records. */
inline constexpr std::uint16_t kNoReplyRequested = UINT16_MAX;

/** The content of one gossip datagram, before encoding and authentication. */
struct GossipMessage {
  /** The sender's own record. */
  MemberRecord sender;
  /**
   * Number of active members known to the sender, without itself. A receiver that knows clearly
   * more replies with member records. Set only in regular rounds: replies that trigger further
   * replies flood the network.
   */
  std::uint16_t known_members = kNoReplyRequested;
  std::vector<Notice> notices;
  std::vector<HeartbeatDigest> heartbeats;
  /** Records of other members. */
  std::vector<MemberRecord> records;
};

/**
 * Return upper bounds, in bytes, on the size of a part in unpacked Cap'n Proto. The encoder must
 * use this layout: strings as Text, an endpoint as UInt32 address and UInt16 port, numbers and
 * enums in their own width, a HeartbeatDigest as a struct of one data word, lists as composite
 * lists.
 */
std::size_t EncodedBytes(const MemberRecord& record) noexcept;
std::size_t EncodedBytes(const Notice& notice) noexcept;
std::size_t EncodedBytes(const HeartbeatDigest& digest) noexcept;

/** Returns the upper bound for a complete message, including Cap'n Proto framing. */
std::size_t EncodedBytes(const GossipMessage& message) noexcept;

}  // namespace qh::membership
