#include "quetzalhinge/quarantine/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "quarantine_table.h"
#include "recent_successes.h"
#include "suspect_table.h"

namespace qh::quarantine {
namespace {

std::vector<Fingerprint> RemoveDuplicates(std::vector<Fingerprint> fingerprints) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  return fingerprints;
}

bool HasCrashAtOtherWorker(const std::vector<CrashRecord>& crashes, const std::string& worker) {
  return std::any_of(crashes.begin(), crashes.end(),
                     [&](const CrashRecord& record) { return record.worker != worker; });
}

bool HasCrashAlone(const std::vector<CrashRecord>& crashes) {
  return std::any_of(crashes.begin(), crashes.end(),
                     [](const CrashRecord& record) { return record.alone; });
}

}  // namespace

struct CrashSuspects::Impl {
  explicit Impl(const CrashSuspectsOptions& given)
      : options(given), suspects(given.suspect_window, given.max_suspects), quarantines(given) {}

  bool IsExempt(Fingerprint fingerprint, bool alone, TimePoint now) const noexcept;
  bool ExplainsCrash(Fingerprint fingerprint, const CrashRecord& crash, TimePoint now) const;
  std::vector<Fingerprint> FindCrashCauses(const std::vector<Fingerprint>& in_progress,
                                           const CrashRecord& crash, TimePoint now) const;
  QuarantineNotice Quarantine(Fingerprint fingerprint, const CrashRecord& crash, TimePoint now);

  CrashSuspectsOptions options;
  SuspectTable suspects;
  QuarantineTable quarantines;
  RecentSuccesses successes;
};

bool CrashSuspects::Impl::IsExempt(Fingerprint fingerprint, bool alone,
                                   TimePoint now) const noexcept {
  return !alone && successes.Contains(fingerprint, options.success_window, now);
}

/** Returns whether `crash`, together with earlier crashes, justifies a quarantine. */
bool CrashSuspects::Impl::ExplainsCrash(Fingerprint fingerprint, const CrashRecord& crash,
                                        TimePoint now) const {
  if (IsExempt(fingerprint, crash.alone, now)) {
    return false;
  }
  // After an earlier quarantine, one crash with no other request in progress is sufficient.
  return HasCrashAtOtherWorker(suspects.CrashesOf(fingerprint, now), crash.worker) ||
         (crash.alone && quarantines.WasQuarantined(fingerprint, now));
}

std::vector<Fingerprint> CrashSuspects::Impl::FindCrashCauses(
    const std::vector<Fingerprint>& in_progress, const CrashRecord& crash, TimePoint now) const {
  std::vector<Fingerprint> found;
  std::copy_if(in_progress.begin(), in_progress.end(), std::back_inserter(found),
               [&](Fingerprint fingerprint) { return ExplainsCrash(fingerprint, crash, now); });
  const auto crashed_alone = [&](Fingerprint fingerprint) {
    return HasCrashAlone(suspects.CrashesOf(fingerprint, now));
  };
  if (std::any_of(found.begin(), found.end(), crashed_alone)) {
    std::erase_if(found, [&](Fingerprint fingerprint) { return !crashed_alone(fingerprint); });
  }
  return found;
}

QuarantineNotice CrashSuspects::Impl::Quarantine(Fingerprint fingerprint, const CrashRecord& crash,
                                                 TimePoint now) {
  std::vector<CrashRecord> crashes = suspects.CrashesOf(fingerprint, now);
  crashes.push_back(crash);
  suspects.Erase(fingerprint);
  suspects.EraseExplained(crashes);
  return quarantines.Start(fingerprint, now);
}

CrashSuspects::CrashSuspects(CrashSuspectsOptions options)
    : m_impl(std::make_unique<Impl>(options)) {}

CrashSuspects::~CrashSuspects() = default;

CrashFindings CrashSuspects::OnWorkerLost(const std::string& worker,
                                          const std::vector<Fingerprint>& in_progress,
                                          TimePoint now) {
  const std::vector<Fingerprint> fingerprints = RemoveDuplicates(in_progress);
  const CrashRecord crash{worker, now, fingerprints.size() == 1};
  CrashFindings findings;
  // A request that was sent before its quarantine began explains the crash: no new findings.
  const auto is_quarantined = [&](Fingerprint fingerprint) {
    return m_impl->quarantines.Remaining(fingerprint, now).has_value();
  };
  if (std::any_of(fingerprints.begin(), fingerprints.end(), is_quarantined)) {
    return findings;
  }
  for (const Fingerprint fingerprint : m_impl->FindCrashCauses(fingerprints, crash, now)) {
    findings.quarantined.push_back(m_impl->Quarantine(fingerprint, crash, now));
  }
  if (!findings.quarantined.empty()) {
    return findings;
  }
  for (const Fingerprint fingerprint : fingerprints) {
    if (!m_impl->IsExempt(fingerprint, crash.alone, now)) {
      m_impl->suspects.Add(fingerprint, crash, now);
      findings.suspects.push_back(SuspectNotice{fingerprint, worker, crash.alone, Duration(0)});
    }
  }
  return findings;
}

CrashFindings CrashSuspects::OnSucceeded(Fingerprint fingerprint, TimePoint now) {
  CrashFindings findings;
  for (CrashRecord& record : m_impl->suspects.CrashesOf(fingerprint, now)) {
    findings.cleared.push_back({fingerprint, std::move(record.worker), Duration(0)});
  }
  m_impl->successes.Record(fingerprint, now);
  m_impl->suspects.Erase(fingerprint);
  m_impl->quarantines.EraseEnded(fingerprint, now);
  return findings;
}

std::optional<QuarantineNotice> CrashSuspects::OnNotice(const SuspectNotice& notice,
                                                        TimePoint now) {
  const Duration age = std::max(Duration(0), notice.age);
  // A success after the crash clears the request, as OnSucceeded() does for known suspects.
  if (age >= m_impl->options.suspect_window ||
      m_impl->successes.Contains(notice.fingerprint, age, now) ||
      m_impl->quarantines.Remaining(notice.fingerprint, now) ||
      m_impl->IsExempt(notice.fingerprint, notice.alone, now)) {
    return std::nullopt;
  }
  const CrashRecord crash{notice.worker, now - age, notice.alone};
  if (HasCrashAtOtherWorker(m_impl->suspects.CrashesOf(notice.fingerprint, now), notice.worker)) {
    return m_impl->Quarantine(notice.fingerprint, crash, now);
  }
  m_impl->suspects.Add(notice.fingerprint, crash, now);
  return std::nullopt;
}

void CrashSuspects::OnNotice(const ClearedNotice& notice, TimePoint now) {
  const Duration age = std::max(Duration(0), notice.age);
  m_impl->suspects.EraseCrashesAt(notice.fingerprint, notice.worker, now - age);
}

void CrashSuspects::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  m_impl->quarantines.Merge(notice, now);
  m_impl->suspects.EraseExplained(m_impl->suspects.CrashesOf(notice.fingerprint, now));
}

std::optional<Duration> CrashSuspects::QuarantineLeft(Fingerprint fingerprint,
                                                      TimePoint now) const noexcept {
  return m_impl->quarantines.Remaining(fingerprint, now);
}

std::size_t CrashSuspects::SuspectCount() const noexcept { return m_impl->suspects.Size(); }

}  // namespace qh::quarantine
