#include "quetzalhinge/retries/deadline.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <system_error>

namespace qh::retries {
namespace {

constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::minutes(10);

}  // namespace

std::optional<Duration> ParseTimeLeft(std::string_view text) noexcept {
  std::uint64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, millis);
  if (parsed_end != end || text.empty()) {
    return std::nullopt;
  }
  if (error == std::errc::result_out_of_range) {
    return kMaxDeadline;
  }
  if (error != std::errc()) {
    return std::nullopt;
  }
  const auto max_millis = static_cast<std::uint64_t>(kMaxDeadline.count());
  return std::chrono::milliseconds(std::min(millis, max_millis));
}

TimePoint DeadlineOf(TimePoint now, Duration contract_deadline,
                     std::optional<Duration> caller_time_left) noexcept {
  return now + std::min(contract_deadline, caller_time_left.value_or(contract_deadline));
}

Duration TimeLeft(TimePoint deadline, TimePoint now) noexcept {
  return std::max(Duration(0), deadline - now);
}

std::int64_t NextHopMillis(TimePoint deadline, TimePoint now, Duration hop_allowance) noexcept {
  return ToMillis(std::max(Duration(0), TimeLeft(deadline, now) - hop_allowance));
}

Duration MaxAttemptDuration(TimePoint deadline, TimePoint now, Duration expected,
                            bool second_attempt_possible) noexcept {
  const Duration left = TimeLeft(deadline, now);
  return second_attempt_possible ? std::max(left / 2, left - expected) : left;
}

}  // namespace qh::retries
