#include "quarantine_table.h"

#include <algorithm>

namespace qh::quarantine {
namespace {

/** Returns the time of the quarantine number `times`, counted from 1. */
Duration TimeOf(const CrashSuspectsOptions& options, std::uint32_t times) noexcept {
  Duration time = options.first_quarantine;
  for (std::uint32_t i = 1; i < times && time < options.longest_quarantine; ++i) {
    time *= 2;
  }
  return std::min(time, options.longest_quarantine);
}

}  // namespace

QuarantineNotice QuarantineTable::Start(Fingerprint fingerprint, TimePoint now) {
  auto found = m_quarantines.find(fingerprint);
  if (found == m_quarantines.end()) {
    MakeRoom(now);
    found = m_quarantines.emplace(fingerprint, Quarantine{}).first;
  }
  Quarantine& quarantine = found->second;
  quarantine.times = IsRemembered(quarantine, now) ? quarantine.times + 1 : 1;
  const Duration time = TimeOf(m_options, quarantine.times);
  quarantine.until = now + time;
  return QuarantineNotice{fingerprint, quarantine.times, time};
}

void QuarantineTable::Adopt(const QuarantineNotice& notice, TimePoint now) {
  if (notice.times == 0 || notice.remaining <= Duration(0)) {
    return;
  }
  const auto found = m_quarantines.find(notice.fingerprint);
  // A notice that was under way for a while must not prolong the quarantine: VMs that repeat each
  // other's notices would never let it end.
  const bool is_known = found != m_quarantines.end() && IsRemembered(found->second, now) &&
                        found->second.times >= notice.times;
  if (is_known) {
    return;
  }
  if (found == m_quarantines.end()) {
    MakeRoom(now);
  }
  const Duration left = std::min(notice.remaining, TimeOf(m_options, notice.times));
  m_quarantines[notice.fingerprint] = Quarantine{notice.times, now + left};
}

std::optional<Duration> QuarantineTable::Left(Fingerprint fingerprint,
                                              TimePoint now) const noexcept {
  const auto found = m_quarantines.find(fingerprint);
  if (found == m_quarantines.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return found->second.until - now;
}

bool QuarantineTable::WasQuarantined(Fingerprint fingerprint, TimePoint now) const noexcept {
  const auto found = m_quarantines.find(fingerprint);
  return found != m_quarantines.end() && found->second.until <= now &&
         IsRemembered(found->second, now);
}

void QuarantineTable::ForgetEnded(Fingerprint fingerprint, TimePoint now) noexcept {
  const auto found = m_quarantines.find(fingerprint);
  if (found != m_quarantines.end() && found->second.until <= now) {
    m_quarantines.erase(found);
  }
}

void QuarantineTable::MakeRoom(TimePoint now) {
  if (m_quarantines.size() < m_options.max_quarantines) {
    return;
  }
  std::erase_if(m_quarantines, [&](const auto& entry) { return !IsRemembered(entry.second, now); });
  while (!m_quarantines.empty() && m_quarantines.size() >= m_options.max_quarantines) {
    m_quarantines.erase(std::min_element(
        m_quarantines.begin(), m_quarantines.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
  }
}

}  // namespace qh::quarantine
