#include "suspect_table.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace qh::quarantine {
namespace {

// Two workers suffice for a quarantine. A few more are kept so that repeated crashes of one worker
// do not evict the record of another one.
constexpr std::size_t kMaxCrashes = 4;
// Reports of one crash by several VMs give times that differ by less than this.
constexpr Duration kSameCrashWindow = std::chrono::seconds(2);

bool IsSameCrash(const CrashRecord& a, const CrashRecord& b) noexcept {
  return a.worker == b.worker && a.at - b.at < kSameCrashWindow && b.at - a.at < kSameCrashWindow;
}

bool IsEarlier(const CrashRecord& a, const CrashRecord& b) noexcept { return a.at < b.at; }

}  // namespace

void SuspectTable::Add(Fingerprint fingerprint, const CrashRecord& record, TimePoint now) {
  if (!m_suspects.contains(fingerprint)) {
    EvictIfFull(now);
  }
  std::vector<CrashRecord>& crashes = m_suspects[fingerprint];
  const auto same = std::find_if(crashes.begin(), crashes.end(), [&](const CrashRecord& other) {
    return other.worker == record.worker;
  });
  if (same != crashes.end()) {
    same->alone = same->alone || record.alone;
    same->at = std::max(same->at, record.at);
    return;
  }
  if (crashes.size() >= kMaxCrashes) {
    crashes.erase(std::min_element(crashes.begin(), crashes.end(), IsEarlier));
  }
  crashes.push_back(record);
}

std::vector<CrashRecord> SuspectTable::CrashesOf(Fingerprint fingerprint, TimePoint now) const {
  std::vector<CrashRecord> current;
  const auto found = m_suspects.find(fingerprint);
  if (found != m_suspects.end()) {
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(current),
                 [&](const CrashRecord& record) { return IsCurrent(record, now); });
  }
  return current;
}

void SuspectTable::EraseCrashesAt(Fingerprint fingerprint, const std::string& worker,
                                  TimePoint until) {
  const auto found = m_suspects.find(fingerprint);
  if (found == m_suspects.end()) {
    return;
  }
  std::erase_if(found->second, [&](const CrashRecord& record) {
    return record.worker == worker && record.at <= until;
  });
  if (found->second.empty()) {
    m_suspects.erase(found);
  }
}

void SuspectTable::EraseExplained(const std::vector<CrashRecord>& explained) {
  const auto is_explained = [&](const CrashRecord& record) {
    return std::any_of(explained.begin(), explained.end(),
                       [&](const CrashRecord& crash) { return IsSameCrash(crash, record); });
  };
  for (auto& [fingerprint, crashes] : m_suspects) {
    std::erase_if(crashes, is_explained);
  }
  std::erase_if(m_suspects, [](const auto& entry) { return entry.second.empty(); });
}

void SuspectTable::EvictIfFull(TimePoint now) {
  if (m_suspects.size() < m_max_suspects) {
    return;
  }
  for (auto& [fingerprint, crashes] : m_suspects) {
    std::erase_if(crashes, [&](const CrashRecord& record) { return !IsCurrent(record, now); });
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
