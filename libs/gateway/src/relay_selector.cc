#include "quetzalhinge/gateway/relay_selector.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/base/hash.h"

namespace qh::gateway {

RelaySelector::RelaySelector(std::string own_vm, const RelaySelectorOptions& options)
    : m_own_vm(std::move(own_vm)), m_options(options), m_ranked{{m_own_vm, {}}} {}

void RelaySelector::SetPeers(const std::vector<RelayPeer>& peers) {
  m_ranked = peers;
  m_ranked.push_back({m_own_vm, {}});
  std::sort(m_ranked.begin(), m_ranked.end(), [](const RelayPeer& a, const RelayPeer& b) {
    return std::pair(HashBytes(a.vm), a.vm) < std::pair(HashBytes(b.vm), b.vm);
  });
}

RelayChoice RelaySelector::Choose(TimePoint now) const {
  std::size_t stale_count = 0;
  for (const RelayPeer& peer : m_ranked) {
    if (IsExcluded(peer.vm, now)) {
      stale_count += m_exclusions.at(peer.vm).stale ? 1 : 0;
      continue;
    }
    if (peer.vm != m_own_vm) {
      return {RelayChoice::Source::kPeer, peer};
    }
    const bool has_enough_readers = stale_count >= m_options.max_readers_in_outage;
    return {has_enough_readers ? RelayChoice::Source::kNone : RelayChoice::Source::kStore, {}};
  }
  return {RelayChoice::Source::kNone, {}};
}

void RelaySelector::OnStale(const std::string& vm, TimePoint now) {
  m_exclusions[vm] = {now + m_options.stale_exclusion_time, true};
}

void RelaySelector::OnNotReader(const std::string& vm, TimePoint now) {
  m_exclusions[vm] = {now + m_options.stale_exclusion_time, false};
}

bool RelaySelector::IsExcluded(const std::string& vm, TimePoint now) const {
  const auto exclusion = m_exclusions.find(vm);
  return exclusion != m_exclusions.end() && now < exclusion->second.until;
}

void RelaySelector::OnNoResponse(const std::string& vm, TimePoint now) {
  m_exclusions[vm] = {now + m_options.no_response_exclusion_time, false};
}

void RelaySelector::OnSuccess(const std::string& vm) { m_exclusions.erase(vm); }

}  // namespace qh::gateway
