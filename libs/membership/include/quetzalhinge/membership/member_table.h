#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/membership/member_record.h"

namespace qh::membership {

/** Settings of a MemberTable. */
struct MemberTableOptions {
  /** Number of entry VMs in the deployment, from the settings; scales SuspectAfter(). */
  std::size_t vm_count = 15;
  /** Time without a heartbeat until a member is suspected, in a deployment of up to 15 VMs. */
  std::chrono::milliseconds base_suspect_after{3000};
  /**
   * Maximum number of members, including suspected ones. A full table evicts the member whose last
   * heartbeat is the oldest.
   */
  std::size_t capacity = 2048;
};

/** The effect of MemberTable::Merge(). */
enum class MergeOutcome {
  /** The member was not known. */
  kNewMember,
  /** The generation or version is newer: the state, incarnation or endpoints may differ. */
  kChanged,
  /** Only the heartbeat or the revision increased. */
  kRefreshed,
  /** The record contains nothing newer, or is malformed. */
  kStale,
  /**
   * The record has the name of this VM but comes from an earlier run or from another VM with the
   * same name. The local generation was raised above it.
   */
  kRefuted,
};

/** A member and the times of its last heartbeat. */
struct Member {
  MemberRecord record;
  /** Local time at which this VM last received a higher heartbeat. */
  TimePoint received_at;
  /**
   * Local time at which the member incremented that heartbeat. Messages carry the age of each
   * heartbeat, so forwarding from VM to VM does not make it look newer; only the transit time of
   * datagrams is not accounted for.
   */
  TimePoint incremented_at;
  /** How many more times GossipPlanner sends the changed record ahead of others. */
  std::uint32_t transmits_left = 0;
};

/**
 * One VM's view of all entry VMs, learned by gossip and held in memory only. The view may be stale
 * or incomplete; no guarantee to callers depends on its accuracy.
 *
 * A member is active if it is not gone and its heartbeat has increased here within SuspectAfter();
 * otherwise, unless it is gone, it is suspected.
 */
class MemberTable {
 public:
  /** @param self the local record; `generation` from the wall clock, `version` 0 */
  explicit MemberTable(MemberRecord self, MemberTableOptions options = {});

  /** Returns the local record. */
  const MemberRecord& Self() const noexcept { return m_self; }

  /** Increments the local heartbeat. Call it once per gossip interval. */
  void IncrementHeartbeat() noexcept { ++m_self.heartbeat; }

  /** Sets the local state and the incarnation of the entry process (empty while it is down). */
  void SetOwnState(MemberState state, const std::string& entry_incarnation);

  /** Sets the local endpoints. */
  void SetOwnEndpoints(const MemberEndpoints& endpoints);

  /** Sets the number of entry VMs in the deployment, which scales SuspectAfter(). */
  void SetVmCount(std::size_t vm_count) noexcept { m_options.vm_count = vm_count; }

  /** Sets the newest contract revision known to this VM. Lower values are ignored. */
  void SetOwnRevision(std::uint64_t revision) noexcept;

  /**
   * Merges a record received by gossip.
   * @param queue_delay longest time that the message may have waited before it was read
   */
  MergeOutcome Merge(const MemberRecord& record, TimePoint now, Duration queue_delay = {});

  /**
   * Merges a heartbeat; returns whether it is newer than the last one of a known member. Of two
   * ages for the same heartbeat, the older one is used: delays in transit make a heartbeat look
   * newer than it is.
   */
  bool MergeHeartbeat(const HeartbeatDigest& digest, TimePoint now, Duration queue_delay = {});

  /**
   * Replaces the seeds: gossip endpoints from the platform's VM list and the settings. Gossip goes
   * to every seed, whether or not a member with that endpoint is active. The local endpoint is
   * skipped.
   */
  void SetSeeds(const std::vector<IpEndpoint>& seeds);

  /** Returns the member named `vm`, or null; never this VM. Valid until the next change. */
  const Member* Find(std::string_view vm) const;

  /** Returns whether the member is known and active. */
  bool IsActive(std::string_view vm, TimePoint now) const;

  /** Returns this VM, if live, and all live, active members. Used for address responses. */
  std::vector<MemberRecord> ServingMembers(TimePoint now) const;

  /**
   * As above, without members whose newest heartbeat was incremented more than `max_silence` ago.
   * In a large deployment heartbeats take seconds to spread, so this omits a few live members.
   */
  std::vector<MemberRecord> ServingMembers(TimePoint now, Duration max_silence) const;

  /** Returns all members other than this VM, including suspected and gone ones, sorted by name. */
  std::vector<const Member*> AllMembers() const;

  /** Returns the active members other than this VM, sorted by name. */
  std::vector<const Member*> ActiveMembers(TimePoint now) const;

  /** Returns the possible gossip destinations: active members and seeds, without duplicates. */
  std::vector<IpEndpoint> GossipPeers(TimePoint now) const;

  /** Counts one transmission of a member's changed record. */
  void RecordTransmit(std::string_view vm);

  /**
   * Returns the time without a heartbeat after which a member is suspected: `base_suspect_after`
   * times the largest of 1, ln(vm_count) / ln(15) and vm_count / kHeartbeatsPerMessage. The last
   * term dominates above about 100 VMs, where each message carries only some of the heartbeats.
   * With 300 VMs and 20% message loss, one heartbeat in 1,000 is older than 11.6 s; the logarithm
   * alone gives 6.3 s.
   */
  Duration SuspectAfter() const noexcept;

  /** Returns how often a change is sent so that it reaches all members: about 3 log2(vm_count). */
  std::uint32_t TransmitLimit() const noexcept;

  /** Returns how many records with this VM's name but from another run were refuted. */
  std::uint64_t RefutedCount() const noexcept { return m_refuted; }

 private:
  static void UpdateHeartbeat(Member& member, std::uint32_t heartbeat, TimePoint now,
                              TimePoint incremented_at);
  bool IsActiveMember(const Member& member, TimePoint now) const noexcept;
  MergeOutcome MergeSelf(const MemberRecord& record);
  MergeOutcome MergeKnown(Member& member, const MemberRecord& record, TimePoint now,
                          TimePoint incremented_at);
  void EvictIfFull();

  MemberRecord m_self;
  MemberTableOptions m_options;
  std::map<std::string, Member, std::less<>> m_members;
  std::vector<IpEndpoint> m_seeds;
  std::uint64_t m_refuted = 0;
};

}  // namespace qh::membership
