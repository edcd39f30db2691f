#include "quetzalhinge/membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "quetzalhinge/base/hash.h"

namespace qh::membership {
namespace {

/** Deployments of up to this size use `base_suspect_after` unscaled. */
constexpr double kBaseVmCount = 15;
/** Transmissions of a change per doubling of the VM count; 1 suffices without message loss. */
constexpr double kTransmitsPerDoubling = 3;
/** Transmissions of a record of a new member; each VM to which it is new sends it as often. */
constexpr std::uint32_t kNewMemberTransmits = 2;
/** Exceeds any wall-clock time in microseconds. Refuting a higher value could overflow. */
constexpr std::uint64_t kMaxGeneration = std::uint64_t{1} << 62;

bool IsWellFormed(const MemberRecord& record) noexcept {
  return record.generation <= kMaxGeneration && !record.vm.empty() &&
         record.vm.size() <= kMaxMemberNameBytes && record.zone.size() <= kMaxMemberNameBytes &&
         record.entry_incarnation.size() <= kMaxMemberNameBytes;
}

double VmCountOf(const MemberTableOptions& options) noexcept {
  return std::max(kBaseVmCount, static_cast<double>(options.vm_count));
}

}  // namespace

std::uint16_t GenerationTag(const MemberRecord& record) noexcept {
  const std::uint64_t seed = HashBytes(kMemberStateNames.NameOf(record.state), record.generation);
  return static_cast<std::uint16_t>(HashBytes(record.vm, seed));
}

MemberTable::MemberTable(MemberRecord self, MemberTableOptions options)
    : m_self(std::move(self)), m_options(options) {}

void MemberTable::SetOwnState(MemberState state, const std::string& entry_incarnation) {
  if (m_self.state != state || m_self.entry_incarnation != entry_incarnation) {
    m_self.state = state;
    m_self.entry_incarnation = entry_incarnation;
    ++m_self.version;
  }
}

void MemberTable::SetOwnEndpoints(const MemberEndpoints& endpoints) {
  if (!(m_self.endpoints == endpoints)) {
    m_self.endpoints = endpoints;
    ++m_self.version;
  }
}

void MemberTable::SetOwnRevision(std::uint64_t revision) noexcept {
  m_self.revision = std::max(m_self.revision, revision);
}

MergeOutcome MemberTable::Merge(const MemberRecord& record, TimePoint now, Duration queue_delay) {
  if (!IsWellFormed(record)) {
    return MergeOutcome::kStale;
  }
  if (record.vm == m_self.vm) {
    return MergeSelf(record);
  }
  const TimePoint incremented_at = now - queue_delay - record.heartbeat_age;
  const auto found = m_members.find(record.vm);
  if (found != m_members.end()) {
    return MergeKnown(found->second, record, now, incremented_at);
  }
  EvictIfFull();
  m_members.emplace(record.vm, Member{record, now, incremented_at, kNewMemberTransmits});
  return MergeOutcome::kNewMember;
}

MergeOutcome MemberTable::MergeSelf(const MemberRecord& record) {
  const bool is_own_echo = record.generation == m_self.generation &&
                           record.version <= m_self.version && record.heartbeat <= m_self.heartbeat;
  if (record.generation < m_self.generation || is_own_echo) {
    return MergeOutcome::kStale;
  }
  m_self.generation = record.generation + 1;
  ++m_refuted;
  return MergeOutcome::kRefuted;
}

MergeOutcome MemberTable::MergeKnown(Member& member, const MemberRecord& record, TimePoint now,
                                     TimePoint incremented_at) {
  MemberRecord& known = member.record;
  if (record.generation < known.generation) {
    return MergeOutcome::kStale;
  }
  if (record.generation > known.generation) {
    member = {record, now, incremented_at, TransmitLimit()};
    return MergeOutcome::kChanged;
  }
  const bool is_newer_heartbeat = record.heartbeat > known.heartbeat;
  const bool is_changed = record.version > known.version;
  const std::uint32_t heartbeat = known.heartbeat;
  const std::uint64_t revision = std::max(record.revision, known.revision);
  const bool is_newer = is_newer_heartbeat || revision > known.revision;
  if (is_changed) {
    known = record;
    known.heartbeat = heartbeat;
    member.transmits_left = TransmitLimit();
  }
  known.revision = revision;
  UpdateHeartbeat(member, record.heartbeat, now, incremented_at);
  return is_changed ? MergeOutcome::kChanged
         : is_newer ? MergeOutcome::kRefreshed
                    : MergeOutcome::kStale;
}

void MemberTable::UpdateHeartbeat(Member& member, std::uint32_t heartbeat, TimePoint now,
                                  TimePoint incremented_at) {
  if (heartbeat > member.record.heartbeat) {
    member.record.heartbeat = heartbeat;
    member.received_at = now;
    member.incremented_at = incremented_at;
  } else if (heartbeat == member.record.heartbeat) {
    member.incremented_at = std::min(member.incremented_at, incremented_at);
  }
}

bool MemberTable::MergeHeartbeat(const HeartbeatDigest& digest, TimePoint now,
                                 Duration queue_delay) {
  for (auto& [vm, member] : m_members) {
    if (member.record.slot == digest.slot &&
        GenerationTag(member.record) == digest.generation_tag) {
      const bool is_newer = digest.heartbeat > member.record.heartbeat;
      UpdateHeartbeat(member, digest.heartbeat, now, now - queue_delay - digest.age);
      return is_newer;
    }
  }
  return false;
}

void MemberTable::SetSeeds(const std::vector<IpEndpoint>& seeds) {
  m_seeds.clear();
  std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(m_seeds),
               [&](const IpEndpoint& seed) { return seed != m_self.endpoints.gossip; });
}

const Member* MemberTable::Find(std::string_view vm) const {
  const auto found = m_members.find(vm);
  return found == m_members.end() ? nullptr : &found->second;
}

bool MemberTable::IsActive(std::string_view vm, TimePoint now) const {
  const Member* member = Find(vm);
  return member != nullptr && IsActiveMember(*member, now);
}

std::vector<MemberRecord> MemberTable::ServingMembers(TimePoint now) const {
  return ServingMembers(now, SuspectAfter());
}

std::vector<MemberRecord> MemberTable::ServingMembers(TimePoint now, Duration max_silence) const {
  std::vector<MemberRecord> serving;
  if (m_self.state == MemberState::kLive) {
    serving.push_back(m_self);
  }
  for (const auto& [vm, member] : m_members) {
    if (member.record.state == MemberState::kLive && IsActiveMember(member, now) &&
        now - member.incremented_at <= max_silence) {
      serving.push_back(member.record);
    }
  }
  return serving;
}

std::vector<const Member*> MemberTable::AllMembers() const {
  std::vector<const Member*> members;
  for (const auto& [vm, member] : m_members) {
    members.push_back(&member);
  }
  return members;
}

std::vector<const Member*> MemberTable::ActiveMembers(TimePoint now) const {
  std::vector<const Member*> members = AllMembers();
  std::erase_if(members, [&](const Member* member) { return !IsActiveMember(*member, now); });
  return members;
}

std::vector<IpEndpoint> MemberTable::GossipPeers(TimePoint now) const {
  std::set<IpEndpoint> peers(m_seeds.begin(), m_seeds.end());
  for (const Member* member : ActiveMembers(now)) {
    peers.insert(member->record.endpoints.gossip);
  }
  return {peers.begin(), peers.end()};
}

void MemberTable::RecordTransmit(std::string_view vm) {
  const auto found = m_members.find(vm);
  if (found != m_members.end() && found->second.transmits_left > 0) {
    --found->second.transmits_left;
  }
}

Duration MemberTable::SuspectAfter() const noexcept {
  const double vm_count = VmCountOf(m_options);
  const double factor = std::max(std::log(vm_count) / std::log(kBaseVmCount),
                                 vm_count / static_cast<double>(kHeartbeatsPerMessage));
  return std::chrono::duration_cast<Duration>(m_options.base_suspect_after * factor);
}

std::uint32_t MemberTable::TransmitLimit() const noexcept {
  return static_cast<std::uint32_t>(
      std::ceil(kTransmitsPerDoubling * std::log2(VmCountOf(m_options))));
}

bool MemberTable::IsActiveMember(const Member& member, TimePoint now) const noexcept {
  return member.record.state != MemberState::kGone && now - member.received_at <= SuspectAfter();
}

void MemberTable::EvictIfFull() {
  if (m_members.size() < m_options.capacity) {
    return;
  }
  const auto longest_silent = std::min_element(
      m_members.begin(), m_members.end(),
      [](const auto& a, const auto& b) { return a.second.received_at < b.second.received_at; });
  if (longest_silent != m_members.end()) {
    m_members.erase(longest_silent);
  }
}

}  // namespace qh::membership
