#pragma once

#include <array>
#include <cstddef>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/** Remembers the last success of popular fingerprints; a later one may overwrite another's. */
class RecentSuccesses {
 public:
  /** Notes a success. */
  void Note(Fingerprint fingerprint, TimePoint now) noexcept {
    m_places[fingerprint % kPlaces] = Success{fingerprint, now, true};
  }

  /** Returns whether a success within `window` before `now` is remembered. */
  bool Contains(Fingerprint fingerprint, Duration window, TimePoint now) const noexcept {
    const Success& success = m_places[fingerprint % kPlaces];
    return success.used && success.fingerprint == fingerprint && success.at + window > now;
  }

 private:
  static constexpr std::size_t kPlaces = 1024;

  struct Success {
    Fingerprint fingerprint = 0;
    TimePoint at;
    bool used = false;
  };

  std::array<Success, kPlaces> m_places{};
};

}  // namespace qh::quarantine
