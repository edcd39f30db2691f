#include "suspect_table.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace qh::quarantine {
namespace {

// Two make a quarantine; a few more are kept so that repeated crashes of one worker do not push
// out the sighting at another.
constexpr std::size_t kMostSightings = 4;
// Reports of one crash from several VMs arrive with ages that differ by less than this.
constexpr Duration kSameCrash = std::chrono::seconds(2);

bool IsSameCrash(const Sighting& a, const Sighting& b) noexcept {
  return a.worker == b.worker && a.at - b.at < kSameCrash && b.at - a.at < kSameCrash;
}

bool IsEarlier(const Sighting& a, const Sighting& b) noexcept { return a.at < b.at; }

}  // namespace

void SuspectTable::Add(Fingerprint fingerprint, const Sighting& sighting, TimePoint now) {
  if (!m_suspects.contains(fingerprint)) {
    MakeRoom(now);
  }
  std::vector<Sighting>& sightings = m_suspects[fingerprint];
  const auto same = std::find_if(sightings.begin(), sightings.end(), [&](const Sighting& other) {
    return other.worker == sighting.worker;
  });
  if (same != sightings.end()) {
    same->alone = same->alone || sighting.alone;
    same->at = std::max(same->at, sighting.at);
    return;
  }
  if (sightings.size() >= kMostSightings) {
    sightings.erase(std::min_element(sightings.begin(), sightings.end(), IsEarlier));
  }
  sightings.push_back(sighting);
}

std::vector<Sighting> SuspectTable::SightingsOf(Fingerprint fingerprint, TimePoint now) const {
  std::vector<Sighting> current;
  const auto found = m_suspects.find(fingerprint);
  if (found != m_suspects.end()) {
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(current),
                 [&](const Sighting& sighting) { return IsCurrent(sighting, now); });
  }
  return current;
}

void SuspectTable::EraseSightings(Fingerprint fingerprint, const std::string& worker,
                                  TimePoint until) {
  const auto found = m_suspects.find(fingerprint);
  if (found == m_suspects.end()) {
    return;
  }
  std::erase_if(found->second, [&](const Sighting& sighting) {
    return sighting.worker == worker && sighting.at <= until;
  });
  if (found->second.empty()) {
    m_suspects.erase(found);
  }
}

void SuspectTable::EraseCrashes(const std::vector<Sighting>& explained) {
  const auto is_explained = [&](const Sighting& sighting) {
    return std::any_of(explained.begin(), explained.end(),
                       [&](const Sighting& crash) { return IsSameCrash(crash, sighting); });
  };
  for (auto& [fingerprint, sightings] : m_suspects) {
    std::erase_if(sightings, is_explained);
  }
  std::erase_if(m_suspects, [](const auto& entry) { return entry.second.empty(); });
}

void SuspectTable::MakeRoom(TimePoint now) {
  if (m_suspects.size() < m_max_suspects) {
    return;
  }
  for (auto& [fingerprint, sightings] : m_suspects) {
    std::erase_if(sightings, [&](const Sighting& sighting) { return !IsCurrent(sighting, now); });
  }
  std::erase_if(m_suspects, [](const auto& entry) { return entry.second.empty(); });
  while (!m_suspects.empty() && m_suspects.size() >= m_max_suspects) {
    const auto latest = [](const auto& entry) {
      return std::max_element(entry.second.begin(), entry.second.end(), IsEarlier)->at;
    };
    m_suspects.erase(
        std::min_element(m_suspects.begin(), m_suspects.end(),
                         [&](const auto& a, const auto& b) { return latest(a) < latest(b); }));
  }
}

}  // namespace qh::quarantine
