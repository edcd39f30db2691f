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
  std::size_t stale_before = 0;
  for (const RelayPeer& peer : m_ranked) {
    if (IsLeftOut(peer.vm, now)) {
      stale_before += m_left_out.at(peer.vm).stale ? 1 : 0;
      continue;
    }
    if (peer.vm != m_own_vm) {
      return {RelayChoice::Source::kPeer, peer};
    }
    const bool leave_it_to_others = stale_before >= m_options.readers_in_outage;
    return {leave_it_to_others ? RelayChoice::Source::kNobody : RelayChoice::Source::kStore, {}};
  }
  return {RelayChoice::Source::kNobody, {}};
}

void RelaySelector::OnStale(const std::string& vm, TimePoint now) {
  m_left_out[vm] = {now + m_options.stale_time, true};
}

void RelaySelector::OnNotReader(const std::string& vm, TimePoint now) {
  m_left_out[vm] = {now + m_options.stale_time, false};
}

bool RelaySelector::IsLeftOut(const std::string& vm, TimePoint now) const {
  const auto left_out = m_left_out.find(vm);
  return left_out != m_left_out.end() && now < left_out->second.until;
}

void RelaySelector::OnSilent(const std::string& vm, TimePoint now) {
  m_left_out[vm] = {now + m_options.silent_time, false};
}

void RelaySelector::OnAnswered(const std::string& vm) { m_left_out.erase(vm); }

}  // namespace qh::gateway
