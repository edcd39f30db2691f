#include "quarantine_table.h"

#include <algorithm>

namespace qh::quarantine {
namespace {

/** Returns the duration of the quarantine with number `times`, counted from 1. */
Duration QuarantineDuration(const CrashSuspectsOptions& options, std::uint32_t times) noexcept {
  Duration duration = options.initial_quarantine;
  for (std::uint32_t i = 1; i < times && duration < options.max_quarantine; ++i) {
    duration *= 2;
  }
  return std::min(duration, options.max_quarantine);
}

}  // namespace

QuarantineNotice QuarantineTable::Start(Fingerprint fingerprint, TimePoint now) {
  auto found = m_quarantines.find(fingerprint);
  if (found == m_quarantines.end()) {
    EvictIfFull(now);
    found = m_quarantines.emplace(fingerprint, Quarantine{}).first;
  }
  Quarantine& quarantine = found->second;
  quarantine.times = IsRetained(quarantine, now) ? quarantine.times + 1 : 1;
  const Duration duration = QuarantineDuration(m_options, quarantine.times);
  quarantine.until = now + duration;
  return QuarantineNotice{fingerprint, quarantine.times, duration};
}

void QuarantineTable::Merge(const QuarantineNotice& notice, TimePoint now) {
  if (notice.times == 0 || notice.remaining <= Duration(0)) {
    return;
  }
  const auto found = m_quarantines.find(notice.fingerprint);
  // A delayed notice must not prolong the quarantine: otherwise VMs that repeat each other's
  // notices would extend it forever.
  const bool is_known = found != m_quarantines.end() && IsRetained(found->second, now) &&
                        found->second.times >= notice.times;
  if (is_known) {
    return;
  }
  if (found == m_quarantines.end()) {
    EvictIfFull(now);
  }
  const Duration left = std::min(notice.remaining, QuarantineDuration(m_options, notice.times));
  m_quarantines[notice.fingerprint] = Quarantine{notice.times, now + left};
}

std::optional<Duration> QuarantineTable::Remaining(Fingerprint fingerprint,
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
         IsRetained(found->second, now);
}

void QuarantineTable::EraseEnded(Fingerprint fingerprint, TimePoint now) noexcept {
  const auto found = m_quarantines.find(fingerprint);
  if (found != m_quarantines.end() && found->second.until <= now) {
    m_quarantines.erase(found);
  }
}

void QuarantineTable::EvictIfFull(TimePoint now) {
  if (m_quarantines.size() < m_options.max_quarantines) {
    return;
  }
  std::erase_if(m_quarantines, [&](const auto& entry) { return !IsRetained(entry.second, now); });
  while (!m_quarantines.empty() && m_quarantines.size() >= m_options.max_quarantines) {
    m_quarantines.erase(std::min_element(
        m_quarantines.begin(), m_quarantines.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
  }
}

}  // namespace qh::quarantine
