#pragma once

#include <chrono>
#include <cstdint>

namespace qh {

/** Time of the monotonic clock, passed as an argument so that tests can control it. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/** Microseconds since the Unix epoch. */
using UnixMicros = std::int64_t;

/** Returns the current wall-clock time in microseconds since the Unix epoch. */
inline UnixMicros UnixNow() noexcept {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Returns `duration` in whole milliseconds, rounded down. */
inline std::int64_t ToMillis(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace qh
