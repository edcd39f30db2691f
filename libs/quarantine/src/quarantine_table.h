#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/** Quarantines that are in force or ended recently enough to count for the next one; bounded. */
class QuarantineTable {
 public:
  explicit QuarantineTable(const CrashSuspectsOptions& options) noexcept : m_options(options) {}

  /** Puts a fingerprint under quarantine, for twice as long as the time before. */
  QuarantineNotice Start(Fingerprint fingerprint, TimePoint now);

  /** Takes over a quarantine that another VM found, if it is news. */
  void Adopt(const QuarantineNotice& notice, TimePoint now);

  /** Returns the time left, nothing if there is no quarantine at `now`. */
  std::optional<Duration> Left(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Returns whether a quarantine ended and is not forgotten yet. */
  bool WasQuarantined(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Forgets a quarantine that has ended, because the request succeeded since. */
  void ForgetEnded(Fingerprint fingerprint, TimePoint now) noexcept;

 private:
  struct Quarantine {
    std::uint32_t times = 0;
    TimePoint until;
  };

  void MakeRoom(TimePoint now);
  bool IsRemembered(const Quarantine& quarantine, TimePoint now) const noexcept {
    return quarantine.until + m_options.longest_quarantine > now;
  }

  CrashSuspectsOptions m_options;
  std::unordered_map<Fingerprint, Quarantine> m_quarantines;
};

}  // namespace qh::quarantine
