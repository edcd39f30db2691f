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

/** Bounds of a MemberTable. */
struct MemberTableOptions {
  /** Entry VMs of the deployment, from the settings; scales SuspectAfter(). */
  std::size_t vm_count = 15;
  /** Silence after which a member is suspected in a deployment of up to 15 VMs. */
  std::chrono::milliseconds base_suspect_after{3000};
  /** Members kept, suspected ones included; the one silent for longest makes room. */
  std::size_t capacity = 2048;
};

/** What MemberTable::Merge() did with a record. */
enum class MergeOutcome {
  /** The member was not known. */
  kNewMember,
  /** The content is newer: state, incarnation, endpoints. */
  kChanged,
  /** Only the heartbeat or the revision grew. */
  kAlive,
  /** Nothing in it was newer, or the record is not well formed. */
  kStale,
  /** It was about this VM, from an earlier run or a namesake; the own generation was raised. */
  kRefuted,
};

/** A member and when it last showed a sign of life. */
struct Member {
  MemberRecord record;
  /** Local time at which the heartbeat last grew here. */
  TimePoint received_at;
  /**
   * Local time at which the member raised that heartbeat. Messages carry the age of each heartbeat,
   * so that this leaves out its travel from VM to VM; only time in the network looks too young.
   */
  TimePoint incremented_at;
  /** How often GossipPlanner should still send the changed record ahead of others. */
  std::uint32_t transmits_left = 0;
};

/**
 * What one VM knows of all entry VMs. Learned by gossip and lost when the process ends. No promise
 * depends on it being right.
 */
class MemberTable {
 public:
  /** @param self the own record; `generation` from the wall clock, `version` 0 */
  explicit MemberTable(MemberRecord self, MemberTableOptions options = {});

  /** Returns the own record. */
  const MemberRecord& Self() const noexcept { return m_self; }

  /** Raises the own heartbeat; once per gossip interval. */
  void IncrementHeartbeat() noexcept { ++m_self.heartbeat; }

  /** Sets the own state, and the incarnation of the entry process (empty while it is down). */
  void SetOwnState(MemberState state, const std::string& entry_incarnation);

  /** Sets the own zone, slot and endpoints. */
  void SetOwnEndpoints(const MemberEndpoints& endpoints);

  /** Sets the number of entry VMs of the deployment, which scales SuspectAfter(). */
  void SetVmCount(std::size_t vm_count) noexcept { m_options.vm_count = vm_count; }

  /** Records the newest contract revision that this VM has heard of; a lower one is ignored. */
  void SetOwnRevision(std::uint64_t revision) noexcept;

  /**
   * Takes a record from gossip into account.
   * @param queue_delay how long the message may have waited here before it was read
   */
  MergeOutcome Merge(const MemberRecord& record, TimePoint now, Duration queue_delay = {});

  /**
   * Takes a heartbeat into account; returns whether it was news of a known member. Of two ages of
   * the same heartbeat the older one is right: delays on the way make a heartbeat look younger.
   */
  bool MergeHeartbeat(const HeartbeatDigest& digest, TimePoint now, Duration queue_delay = {});

  /**
   * Replaces the gossip endpoints of the platform's VM list and the settings. They are asked as
   * long as no member with that endpoint is heard from. The own endpoint is left out.
   */
  void SetSeeds(const std::vector<IpEndpoint>& seeds);

  /** Returns the member called `vm`, this VM excepted, or null. Valid until the next change. */
  const Member* Find(std::string_view vm) const;

  /** Returns whether the member is known, not gone, and not silent for SuspectAfter(). */
  bool IsHeardFrom(std::string_view vm, TimePoint now) const;

  /** Returns this VM and all members that are live and heard from, for address answers. */
  std::vector<MemberRecord> ServingMembers(TimePoint now) const;

  /**
   * The same without members whose newest heartbeat was raised more than `max_silence` ago.
   * Heartbeats of a large fleet take seconds, so that this leaves out a few live ones.
   */
  std::vector<MemberRecord> ServingMembers(TimePoint now, Duration max_silence) const;

  /** Returns all other members in order of name, with those suspected or gone. */
  std::vector<const Member*> AllMembers() const;

  /** Returns the other members that are heard from and not gone, in order of name. */
  std::vector<const Member*> HeardMembers(TimePoint now) const;

  /** Returns where gossip may go: heard members and the seeds that are none. */
  std::vector<IpEndpoint> GossipPeers(TimePoint now) const;

  /** Counts one sending of a member's changed record. */
  void RecordTransmit(std::string_view vm);

  /**
   * Returns the silence after which a member is suspected: `base_suspect_after` times the larger of
   * ln(vm_count) / ln(15) and vm_count / kHeartbeatsPerMessage, at least once. The second term
   * holds above some 100 VMs: a heartbeat then travels in a part of the messages only. In a trial
   * with 300 VMs and 20% of messages lost, one heartbeat in 1,000 was older than 11.6 s; the
   * logarithm alone gives 6.3 s.
   */
  Duration SuspectAfter() const noexcept;

  /** Returns how often a change has to be sent to reach all members, about 3 log2(vm_count). */
  std::uint32_t TransmitLimit() const noexcept;

  /** Returns how often a record with the own name and another run was refuted. */
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
