#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"

namespace qh::membership {

/** The state that an entry VM announces for itself. */
enum class MemberState : std::uint8_t {
  /** Not serving yet, or its entry process is down. */
  kStarting,
  /** Serving. */
  kLive,
  /** In a planned stop: drains the calls in progress and accepts no new ones. */
  kLeaving,
  /** Ended. Final state of an incarnation. */
  kGone,
};

inline constexpr EnumTable<MemberState, 4> kMemberStateNames{{{
    {MemberState::kStarting, "starting"},
    {MemberState::kLive, "live"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kGone, "gone"},
}}};

/** Network endpoints of a VM; port 0 if it does not offer the service. */
struct MemberEndpoints {
  /** HTTP for callers. */
  IpEndpoint calls;
  /** EntryPeer RPC of the entry process. */
  IpEndpoint entry_rpc;
  /** ControlPeer RPC of the control process. */
  IpEndpoint control_rpc;
  /** Gossip over UDP. */
  IpEndpoint gossip;
  /** HTTP for operators, served by the control process. */
  IpEndpoint operators;

  bool operator==(const MemberEndpoints&) const = default;
};

/**
 * The state of one entry VM, as distributed by gossip. Only the VM itself increments the counters;
 * all others forward the record unchanged. The record with the highest (generation, version) is
 * current; `heartbeat` and `revision` increase independently of it within a generation.
 */
struct MemberRecord {
  /** Name of the VM. At most kMaxMemberNameBytes bytes, as are `zone` and `entry_incarnation`. */
  std::string vm;
  std::string zone;
  /** Incarnation of the entry process, used in key prefixes; empty while the process is down. */
  std::string entry_incarnation;
  /**
   * Incarnation of the control process: its start time in wall-clock microseconds. A process that
   * receives a record with its own name from another run, with a generation not lower than its own,
   * raises its own generation above the received one.
   */
  std::uint64_t generation = 0;
  /** Counts changes of the other fields within the generation. */
  std::uint32_t version = 0;
  /** Counts gossip rounds within the generation. */
  std::uint32_t heartbeat = 0;
  /**
   * In messages: time since the heartbeat was incremented, by the sender's clock; 0 in the sender's
   * own record. Not used in tables, which store Member::incremented_at instead.
   */
  std::chrono::milliseconds heartbeat_age{0};
  /** Newest contract revision known to the VM. */
  std::uint64_t revision = 0;
  std::uint16_t slot = 0;
  MemberState state = MemberState::kStarting;
  MemberEndpoints endpoints;

  bool operator==(const MemberRecord&) const = default;
};

inline constexpr std::size_t kMaxMemberNameBytes = 48;

/** Maximum heartbeats in one gossip message; leaves room for a record and notices. */
inline constexpr std::size_t kHeartbeatsPerMessage = 64;

/**
 * A member's heartbeat without its record. Takes 9 bytes, so that one message covers many members.
 * Receivers without a record of this slot and generation tag ignore it.
 */
struct HeartbeatDigest {
  std::uint16_t slot = 0;
  /** GenerationTag() of the member's record. */
  std::uint16_t generation_tag = 0;
  std::uint32_t heartbeat = 0;
  /** Time since the heartbeat was incremented, as far as the sender knows. */
  std::chrono::milliseconds age{0};

  bool operator==(const HeartbeatDigest&) const = default;
};

/** Returns a hash that distinguishes members, incarnations and states with the same slot. */
std::uint16_t GenerationTag(const MemberRecord& record) noexcept;

}  // namespace qh::membership
