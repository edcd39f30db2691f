#pragma once

#include <array>
#include <cstddef>

#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::quarantine {

/**
 * Time of the last success of each fingerprint, in a hash table of fixed size without collision
 * handling: a fingerprint overwrites another one in the same slot. Popular ones are retained best.
 */
class RecentSuccesses {
 public:
  void Record(Fingerprint fingerprint, TimePoint now) noexcept {
    m_slots[fingerprint % kSlots] = Success{fingerprint, now, true};
  }

  /** Returns whether a success within `window` before `now` is recorded. */
  bool Contains(Fingerprint fingerprint, Duration window, TimePoint now) const noexcept {
    const Success& success = m_slots[fingerprint % kSlots];
    return success.used && success.fingerprint == fingerprint && success.at + window > now;
  }

 private:
  static constexpr std::size_t kSlots = 1024;

  struct Success {
    Fingerprint fingerprint = 0;
    TimePoint at;
    bool used = false;
  };

  std::array<Success, kSlots> m_slots{};
};

}  // namespace qh::quarantine
