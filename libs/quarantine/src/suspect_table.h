#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/** Crash of a worker at which a suspect request was in progress. */
struct CrashRecord {
  std::string worker;
  TimePoint at;
  /** Whether no other request of the reporting VM was in progress at the worker. */
  bool alone = false;
};

/** Suspect requests with their crashes within a time window. Bounded in size. */
class SuspectTable {
 public:
  SuspectTable(Duration window, std::size_t max_suspects) noexcept
      : m_window(window), m_max_suspects(max_suspects) {}

  /** Adds a crash. The newest crash of each worker is kept, for at most 4 workers. */
  void Add(Fingerprint fingerprint, const CrashRecord& record, TimePoint now);

  /** Returns the crashes of `fingerprint` within the window before `now`. */
  std::vector<CrashRecord> CrashesOf(Fingerprint fingerprint, TimePoint now) const;

  /** Removes all crashes of `fingerprint`. */
  void Erase(Fingerprint fingerprint) noexcept { m_suspects.erase(fingerprint); }

  /** Removes the crashes of `fingerprint` at `worker` up to and including `until`. */
  void EraseCrashesAt(Fingerprint fingerprint, const std::string& worker, TimePoint until);

  /** Removes the crashes in `explained` from all fingerprints. */
  void EraseExplained(const std::vector<CrashRecord>& explained);

  /** Returns the number of suspects. */
  std::size_t Size() const noexcept { return m_suspects.size(); }

 private:
  void EvictIfFull(TimePoint now);
  bool IsCurrent(const CrashRecord& record, TimePoint now) const noexcept {
    return record.at + m_window > now;
  }

  Duration m_window;
  std::size_t m_max_suspects;
  std::unordered_map<Fingerprint, std::vector<CrashRecord>> m_suspects;
};

}  // namespace qh::quarantine
