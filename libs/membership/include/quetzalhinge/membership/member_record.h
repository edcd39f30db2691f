#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::membership {

/** What an entry VM says of itself. */
enum class MemberState : std::uint8_t {
  /** Not serving yet, or its entry process is down. */
  kStarting,
  kLive,
  /** In a planned stop: finishes what it has, takes nothing new. */
  kLeaving,
  /** Ended. The last word of its incarnation. */
  kGone,
};

inline constexpr EnumTable<MemberState, 4> kMemberStateNames{{{
    {MemberState::kStarting, "starting"},
    {MemberState::kLive, "live"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kGone, "gone"},
}}};

/** Addresses at which a VM can be reached; port 0 where it offers nothing. */
struct MemberEndpoints {
  /** Callers' HTTP. */
  IpEndpoint calls;
  /** EntryPeer RPC of the entry process. */
  IpEndpoint entry_rpc;
  /** ControlPeer RPC of the control process. */
  IpEndpoint control_rpc;
  /** Gossip over UDP. */
  IpEndpoint gossip;
  /** Operators' HTTP of the control process. */
  IpEndpoint operators;

  bool operator==(const MemberEndpoints&) const = default;
};

/**
 * What is known of one entry VM. Only the VM itself raises the numbers; everybody else passes the
 * record on. Ordered by (generation, version) for the content; `heartbeat` and `revision` grow on
 * their own within a generation.
 */
struct MemberRecord {
  /** At most kMaxMemberNameBytes bytes, as are `zone` and `entry_incarnation`. */
  std::string vm;
  std::string zone;
  /** Incarnation of the entry process, for key prefixes; empty while it is down. */
  std::string entry_incarnation;
  /**
   * Incarnation of the control process: the wall-clock microseconds of its start. A process that
   * hears a generation of its own name that is not lower than its own raises its own above it.
   */
  std::uint64_t generation = 0;
  /** Counts changes of the other fields within the generation. */
  std::uint32_t version = 0;
  /** Counts gossip rounds within the generation. */
  std::uint32_t heartbeat = 0;
  /**
   * In messages: how long ago the heartbeat was raised, by the sender's clock; 0 in its own record.
   * Not kept in tables, which hold Member::received_at.
   */
  std::chrono::milliseconds heartbeat_age{0};
  /** Newest contract revision that the VM has heard of. */
  std::uint64_t revision = 0;
  std::uint16_t slot = 0;
  MemberState state = MemberState::kStarting;
  MemberEndpoints endpoints;

  bool operator==(const MemberRecord&) const = default;
};

inline constexpr std::size_t kMaxMemberNameBytes = 48;

/** Heartbeats in one gossip message, at most; with them it fits beside a record and notices. */
inline constexpr std::size_t kHeartbeatsPerMessage = 64;

/**
 * A member's heartbeat without its record: 9 bytes, so that one message covers many members.
 * Ignored by receivers that have no record with this slot and generation tag.
 */
struct HeartbeatDigest {
  std::uint16_t slot = 0;
  /** GenerationTag() of the record. */
  std::uint16_t generation_tag = 0;
  std::uint32_t heartbeat = 0;
  /** How long ago the heartbeat was raised, as the sender knows. */
  std::chrono::milliseconds age{0};

  bool operator==(const HeartbeatDigest&) const = default;
};

/** Returns the tag that tells apart members, incarnations and states with the same slot. */
std::uint16_t GenerationTag(const MemberRecord& record) noexcept;

}  // namespace qh::membership
