#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/** Active quarantines, and ended ones that still count for the next duration. Bounded in size. */
class QuarantineTable {
 public:
  explicit QuarantineTable(const CrashSuspectsOptions& options) noexcept : m_options(options) {}

  /** Starts a quarantine of `fingerprint`, twice as long as the previous one that still counts. */
  QuarantineNotice Start(Fingerprint fingerprint, TimePoint now);

  /** Applies a quarantine of another VM, unless the same or a later one is known. */
  void Merge(const QuarantineNotice& notice, TimePoint now);

  /** Returns the time until the quarantine ends, or std::nullopt if none is active at `now`. */
  std::optional<Duration> Remaining(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Returns whether a quarantine of `fingerprint` has ended and still counts. */
  bool WasQuarantined(Fingerprint fingerprint, TimePoint now) const noexcept;

  /** Erases an ended quarantine; called when the request has succeeded. */
  void EraseEnded(Fingerprint fingerprint, TimePoint now) noexcept;

 private:
  struct Quarantine {
    /** Number of consecutive quarantines; see QuarantineNotice::times. */
    std::uint32_t times = 0;
    TimePoint until;
  };

  void EvictIfFull(TimePoint now);
  bool IsRetained(const Quarantine& quarantine, TimePoint now) const noexcept {
    return quarantine.until + m_options.max_quarantine > now;
  }

  CrashSuspectsOptions m_options;
  std::unordered_map<Fingerprint, Quarantine> m_quarantines;
};

}  // namespace qh::quarantine
