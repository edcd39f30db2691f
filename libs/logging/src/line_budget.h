#pragma once

#include <cstdint>
#include <utility>

#include "quetzalhinge/base/time.h"

namespace qh::logging {

/** Allows a number of log lines in each second and counts those left out. */
class LineBudget {
 public:
  explicit LineBudget(int lines_per_second) noexcept : m_lines_per_second(lines_per_second) {}

  /** Returns whether another line may be written at `now`; otherwise counts it as left out. */
  bool TryTake(TimePoint now) noexcept {
    if (now - m_second_start >= std::chrono::seconds(1)) {
      m_second_start = now;
      m_taken = 0;
    }
    if (m_taken >= m_lines_per_second) {
      ++m_left_out;
      return false;
    }
    ++m_taken;
    return true;
  }

  /** Returns the lines left out since the last call. */
  std::uint64_t TakeLeftOut() noexcept { return std::exchange(m_left_out, 0); }

 private:
  int m_lines_per_second;
  TimePoint m_second_start{};
  int m_taken = 0;
  std::uint64_t m_left_out = 0;
};

}  // namespace qh::logging
