#pragma once

#include <cstdint>
#include <utility>

#include "quetzalhinge/base/time.h"

namespace qh::logging {

/** Limits the number of log lines per second and counts the suppressed ones. */
class LineRateLimiter {
 public:
  explicit LineRateLimiter(int lines_per_second) noexcept : m_lines_per_second(lines_per_second) {}

  /** Returns whether a line may be written at `now`; if not, counts it as suppressed. */
  bool TryAcquire(TimePoint now) noexcept {
    if (now - m_second_start >= std::chrono::seconds(1)) {
      m_second_start = now;
      m_allowed = 0;
    }
    if (m_allowed >= m_lines_per_second) {
      ++m_suppressed;
      return false;
    }
    ++m_allowed;
    return true;
  }

  /** Returns the number of lines suppressed since the last call and resets it. */
  std::uint64_t TakeSuppressedCount() noexcept { return std::exchange(m_suppressed, 0); }

 private:
  int m_lines_per_second;
  TimePoint m_second_start{};
  int m_allowed = 0;
  std::uint64_t m_suppressed = 0;
};

}  // namespace qh::logging
