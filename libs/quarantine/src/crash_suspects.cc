#include "quetzalhinge/quarantine/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "quarantine_table.h"
#include "recent_successes.h"
#include "suspect_table.h"

namespace qh::quarantine {
namespace {

std::vector<Fingerprint> WithoutRepeats(std::vector<Fingerprint> fingerprints) {
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
  return fingerprints;
}

bool IsAtOtherWorker(const std::vector<Sighting>& sightings, const std::string& worker) {
  return std::any_of(sightings.begin(), sightings.end(),
                     [&](const Sighting& sighting) { return sighting.worker != worker; });
}

bool WasAlone(const std::vector<Sighting>& sightings) {
  return std::any_of(sightings.begin(), sightings.end(),
                     [](const Sighting& sighting) { return sighting.alone; });
}

}  // namespace

struct CrashSuspects::Impl {
  explicit Impl(const CrashSuspectsOptions& given)
      : options(given), suspects(given.suspect_window, given.max_suspects), quarantines(given) {}

  bool IsExcused(Fingerprint fingerprint, bool alone, TimePoint now) const noexcept;
  bool IsExplanation(Fingerprint fingerprint, const Sighting& crash, TimePoint now) const;
  std::vector<Fingerprint> Explanations(const std::vector<Fingerprint>& in_progress,
                                        const Sighting& crash, TimePoint now) const;
  QuarantineNotice Quarantine(Fingerprint fingerprint, const Sighting& crash, TimePoint now);

  CrashSuspectsOptions options;
  SuspectTable suspects;
  QuarantineTable quarantines;
  RecentSuccesses successes;
};

bool CrashSuspects::Impl::IsExcused(Fingerprint fingerprint, bool alone,
                                    TimePoint now) const noexcept {
  return !alone && successes.Contains(fingerprint, options.success_window, now);
}

/** Returns whether a quarantine of `fingerprint` is justified once it is seen in `crash` too. */
bool CrashSuspects::Impl::IsExplanation(Fingerprint fingerprint, const Sighting& crash,
                                        TimePoint now) const {
  if (IsExcused(fingerprint, crash.alone, now)) {
    return false;
  }
  // After a quarantine, one more crash with no other request in progress is enough.
  return IsAtOtherWorker(suspects.SightingsOf(fingerprint, now), crash.worker) ||
         (crash.alone && quarantines.WasQuarantined(fingerprint, now));
}

std::vector<Fingerprint> CrashSuspects::Impl::Explanations(
    const std::vector<Fingerprint>& in_progress, const Sighting& crash, TimePoint now) const {
  std::vector<Fingerprint> found;
  std::copy_if(in_progress.begin(), in_progress.end(), std::back_inserter(found),
               [&](Fingerprint fingerprint) { return IsExplanation(fingerprint, crash, now); });
  const auto was_alone = [&](Fingerprint fingerprint) {
    return WasAlone(suspects.SightingsOf(fingerprint, now));
  };
  if (std::any_of(found.begin(), found.end(), was_alone)) {
    std::erase_if(found, [&](Fingerprint fingerprint) { return !was_alone(fingerprint); });
  }
  return found;
}

QuarantineNotice CrashSuspects::Impl::Quarantine(Fingerprint fingerprint, const Sighting& crash,
                                                 TimePoint now) {
  std::vector<Sighting> crashes = suspects.SightingsOf(fingerprint, now);
  crashes.push_back(crash);
  suspects.Erase(fingerprint);
  suspects.EraseCrashes(crashes);
  return quarantines.Start(fingerprint, now);
}

CrashSuspects::CrashSuspects(CrashSuspectsOptions options)
    : m_impl(std::make_unique<Impl>(options)) {}

CrashSuspects::~CrashSuspects() = default;

CrashFindings CrashSuspects::OnWorkerLost(const std::string& worker,
                                          const std::vector<Fingerprint>& in_progress,
                                          TimePoint now) {
  const std::vector<Fingerprint> fingerprints = WithoutRepeats(in_progress);
  const Sighting crash{worker, now, fingerprints.size() == 1};
  CrashFindings findings;
  // A request that was sent before its quarantine began explains the crash and adds nothing new.
  const auto is_quarantined = [&](Fingerprint fingerprint) {
    return m_impl->quarantines.Left(fingerprint, now).has_value();
  };
  if (std::any_of(fingerprints.begin(), fingerprints.end(), is_quarantined)) {
    return findings;
  }
  for (const Fingerprint fingerprint : m_impl->Explanations(fingerprints, crash, now)) {
    findings.quarantined.push_back(m_impl->Quarantine(fingerprint, crash, now));
  }
  if (!findings.quarantined.empty()) {
    return findings;
  }
  for (const Fingerprint fingerprint : fingerprints) {
    if (!m_impl->IsExcused(fingerprint, crash.alone, now)) {
      m_impl->suspects.Add(fingerprint, crash, now);
      findings.suspects.push_back(SuspectNotice{fingerprint, worker, crash.alone, Duration(0)});
    }
  }
  return findings;
}

CrashFindings CrashSuspects::OnSucceeded(Fingerprint fingerprint, TimePoint now) {
  CrashFindings findings;
  for (Sighting& sighting : m_impl->suspects.SightingsOf(fingerprint, now)) {
    findings.cleared.push_back({fingerprint, std::move(sighting.worker), Duration(0)});
  }
  m_impl->successes.Note(fingerprint, now);
  m_impl->suspects.Erase(fingerprint);
  m_impl->quarantines.ForgetEnded(fingerprint, now);
  return findings;
}

std::optional<QuarantineNotice> CrashSuspects::OnNotice(const SuspectNotice& notice,
                                                        TimePoint now) {
  const Duration age = std::max(Duration(0), notice.age);
  // A success since the crash excuses the request, as it does for suspects known before.
  if (age >= m_impl->options.suspect_window ||
      m_impl->successes.Contains(notice.fingerprint, age, now) ||
      m_impl->quarantines.Left(notice.fingerprint, now) ||
      m_impl->IsExcused(notice.fingerprint, notice.alone, now)) {
    return std::nullopt;
  }
  const Sighting crash{notice.worker, now - age, notice.alone};
  if (IsAtOtherWorker(m_impl->suspects.SightingsOf(notice.fingerprint, now), notice.worker)) {
    return m_impl->Quarantine(notice.fingerprint, crash, now);
  }
  m_impl->suspects.Add(notice.fingerprint, crash, now);
  return std::nullopt;
}

void CrashSuspects::OnNotice(const ClearedNotice& notice, TimePoint now) {
  const Duration age = std::max(Duration(0), notice.age);
  m_impl->suspects.EraseSightings(notice.fingerprint, notice.worker, now - age);
}

void CrashSuspects::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  m_impl->quarantines.Adopt(notice, now);
  m_impl->suspects.EraseCrashes(m_impl->suspects.SightingsOf(notice.fingerprint, now));
}

std::optional<Duration> CrashSuspects::QuarantineLeft(Fingerprint fingerprint,
                                                      TimePoint now) const noexcept {
  return m_impl->quarantines.Left(fingerprint, now);
}

std::size_t CrashSuspects::SuspectCount() const noexcept { return m_impl->suspects.Size(); }

}  // namespace qh::quarantine
