#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/** One worker at which a fingerprint was in progress when the worker's connections broke. */
struct Sighting {
  std::string worker;
  TimePoint at;
  bool alone = false;
};

/** Suspects with their sightings within a window of time; bounded. */
class SuspectTable {
 public:
  SuspectTable(Duration window, std::size_t max_suspects) noexcept
      : m_window(window), m_max_suspects(max_suspects) {}

  /** Records a sighting. The newest one of each worker is kept, of at most 4 workers. */
  void Add(Fingerprint fingerprint, const Sighting& sighting, TimePoint now);

  /** Returns the sightings of a fingerprint within the window before `now`. */
  std::vector<Sighting> SightingsOf(Fingerprint fingerprint, TimePoint now) const;

  /** Forgets a fingerprint. */
  void Erase(Fingerprint fingerprint) noexcept { m_suspects.erase(fingerprint); }

  /** Forgets the sightings of a fingerprint at `worker` up to `until`. */
  void EraseSightings(Fingerprint fingerprint, const std::string& worker, TimePoint until);

  /** Forgets the sightings of all fingerprints in the crashes that `explained` lists. */
  void EraseCrashes(const std::vector<Sighting>& explained);

  /** Returns the number of suspects. */
  std::size_t Size() const noexcept { return m_suspects.size(); }

 private:
  void MakeRoom(TimePoint now);
  bool IsCurrent(const Sighting& sighting, TimePoint now) const noexcept {
    return sighting.at + m_window > now;
  }

  Duration m_window;
  std::size_t m_max_suspects;
  std::unordered_map<Fingerprint, std::vector<Sighting>> m_suspects;
};

}  // namespace qh::quarantine
