#include "quetzalhinge/membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "quetzalhinge/base/hash.h"

namespace qh::membership {
namespace {

/** Deployments up to this size use `base_suspect_after` as it is. */
constexpr double kBaseVmCount = 15;
/** Sends of a change per doubling of the number of VMs; 1 would suffice without lost messages. */
constexpr double kSendsPerDoubling = 3;
/** Sends of a record that is new here; each receiver for which it is new sends it on as often. */
constexpr std::uint32_t kNewMemberSends = 2;
/** Above any wall clock in microseconds; a higher one could not be refuted without overflow. */
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

MergeOutcome MemberTable::Merge(const MemberRecord& record, TimePoint now, Duration waited) {
  if (!IsWellFormed(record)) {
    return MergeOutcome::kStale;
  }
  if (record.vm == m_self.vm) {
    return MergeSelf(record);
  }
  const TimePoint raised_at = now - waited - record.heartbeat_age;
  const auto found = m_members.find(record.vm);
  if (found != m_members.end()) {
    return MergeKnown(found->second, record, now, raised_at);
  }
  MakeRoom();
  m_members.emplace(record.vm, Member{record, now, raised_at, kNewMemberSends});
  return MergeOutcome::kNewMember;
}

MergeOutcome MemberTable::MergeSelf(const MemberRecord& record) {
  const bool is_own_word = record.generation == m_self.generation &&
                           record.version <= m_self.version && record.heartbeat <= m_self.heartbeat;
  if (record.generation < m_self.generation || is_own_word) {
    return MergeOutcome::kStale;
  }
  m_self.generation = record.generation + 1;
  ++m_refuted;
  return MergeOutcome::kRefuted;
}

MergeOutcome MemberTable::MergeKnown(Member& member, const MemberRecord& record, TimePoint now,
                                     TimePoint raised_at) {
  MemberRecord& known = member.record;
  if (record.generation < known.generation) {
    return MergeOutcome::kStale;
  }
  if (record.generation > known.generation) {
    member = {record, now, raised_at, SpreadSends()};
    return MergeOutcome::kChanged;
  }
  const bool is_alive = record.heartbeat > known.heartbeat;
  const bool is_changed = record.version > known.version;
  const std::uint32_t heartbeat = known.heartbeat;
  const std::uint64_t revision = std::max(record.revision, known.revision);
  const bool is_news = is_alive || revision > known.revision;
  if (is_changed) {
    known = record;
    known.heartbeat = heartbeat;
    member.sends_left = SpreadSends();
  }
  known.revision = revision;
  NoteHeartbeat(member, record.heartbeat, now, raised_at);
  return is_changed ? MergeOutcome::kChanged
         : is_news  ? MergeOutcome::kAlive
                    : MergeOutcome::kStale;
}

void MemberTable::NoteHeartbeat(Member& member, std::uint32_t heartbeat, TimePoint now,
                                TimePoint raised_at) {
  if (heartbeat > member.record.heartbeat) {
    member.record.heartbeat = heartbeat;
    member.heard_at = now;
    member.raised_at = raised_at;
  } else if (heartbeat == member.record.heartbeat) {
    member.raised_at = std::min(member.raised_at, raised_at);
  }
}

bool MemberTable::MergeHeartbeat(const HeartbeatDigest& digest, TimePoint now, Duration waited) {
  for (auto& [vm, member] : m_members) {
    if (member.record.slot == digest.slot &&
        GenerationTag(member.record) == digest.generation_tag) {
      const bool is_news = digest.heartbeat > member.record.heartbeat;
      NoteHeartbeat(member, digest.heartbeat, now, now - waited - digest.age);
      return is_news;
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

bool MemberTable::IsHeardFrom(std::string_view vm, TimePoint now) const {
  const Member* member = Find(vm);
  return member != nullptr && IsWithin(*member, now);
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
    if (member.record.state == MemberState::kLive && IsWithin(member, now) &&
        now - member.raised_at <= max_silence) {
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

std::vector<const Member*> MemberTable::HeardMembers(TimePoint now) const {
  std::vector<const Member*> members = AllMembers();
  std::erase_if(members, [&](const Member* member) { return !IsWithin(*member, now); });
  return members;
}

std::vector<IpEndpoint> MemberTable::GossipPeers(TimePoint now) const {
  std::set<IpEndpoint> peers(m_seeds.begin(), m_seeds.end());
  for (const Member* member : HeardMembers(now)) {
    peers.insert(member->record.endpoints.gossip);
  }
  return {peers.begin(), peers.end()};
}

void MemberTable::CountSend(std::string_view vm) {
  const auto found = m_members.find(vm);
  if (found != m_members.end() && found->second.sends_left > 0) {
    --found->second.sends_left;
  }
}

Duration MemberTable::SuspectAfter() const noexcept {
  const double vm_count = VmCountOf(m_options);
  const double factor = std::max(std::log(vm_count) / std::log(kBaseVmCount),
                                 vm_count / static_cast<double>(kHeartbeatsPerMessage));
  return std::chrono::duration_cast<Duration>(m_options.base_suspect_after * factor);
}

std::uint32_t MemberTable::SpreadSends() const noexcept {
  return static_cast<std::uint32_t>(std::ceil(kSendsPerDoubling * std::log2(VmCountOf(m_options))));
}

bool MemberTable::IsWithin(const Member& member, TimePoint now) const noexcept {
  return member.record.state != MemberState::kGone && now - member.heard_at <= SuspectAfter();
}

void MemberTable::MakeRoom() {
  if (m_members.size() < m_options.capacity) {
    return;
  }
  const auto oldest = std::min_element(
      m_members.begin(), m_members.end(),
      [](const auto& a, const auto& b) { return a.second.heard_at < b.second.heard_at; });
  if (oldest != m_members.end()) {
    m_members.erase(oldest);
  }
}

}  // namespace qh::membership
