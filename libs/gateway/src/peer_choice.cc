#include "quetzalhinge/gateway/peer_choice.h"

#include <algorithm>
#include <random>

namespace qh::gateway {
namespace {

using membership::Member;
using membership::MemberState;

/** Appends one of `candidates` to `chosen`, one with a newer revision if there are any. */
void AppendOneOf(std::vector<const Member*> candidates, std::uint64_t own_revision,
                 RandomGenerator& random, std::vector<RelayPeer>& chosen) {
  if (candidates.empty()) {
    return;
  }
  const auto ahead_end = std::partition(
      candidates.begin(), candidates.end(),
      [own_revision](const Member* member) { return member->record.revision > own_revision; });
  const auto end = ahead_end == candidates.begin() ? candidates.end() : ahead_end;
  std::uniform_int_distribution<std::ptrdiff_t> index(0, end - candidates.begin() - 1);
  const membership::MemberRecord& record = candidates.begin()[index(random)]->record;
  chosen.push_back({record.vm, record.endpoints.control_rpc});
}

}  // namespace

std::vector<RelayPeer> ChoosePeersToAsk(const std::vector<const Member*>& members,
                                        const std::string& own_zone, std::uint64_t own_revision,
                                        RandomGenerator& random) {
  std::vector<const Member*> in_own_zone;
  std::vector<const Member*> elsewhere;
  for (const Member* member : members) {
    if (member->record.state == MemberState::kLive) {
      (member->record.zone == own_zone ? in_own_zone : elsewhere).push_back(member);
    }
  }
  std::vector<RelayPeer> chosen;
  AppendOneOf(std::move(in_own_zone), own_revision, random, chosen);
  AppendOneOf(std::move(elsewhere), own_revision, random, chosen);
  return chosen;
}

}  // namespace qh::gateway
