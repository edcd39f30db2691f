#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "quetzalhinge/base/time.h"

namespace qh::retries {

/**
 * Parses the value of `x-qh-deadline-ms`: a whole number of milliseconds of time left.
 * Values above 10 min count as 10 min, the longest deadline of a contract.
 * @return nothing if `text` is not a decimal number without sign
 */
std::optional<Duration> ParseTimeLeft(std::string_view text) noexcept;

/** Returns now + the smaller of the contract's deadline and the caller's time left, if given. */
TimePoint DeadlineOf(TimePoint now, Duration contract_deadline,
                     std::optional<Duration> caller_time_left) noexcept;

/** Returns the time left until `deadline`, 0 if it has passed. */
Duration TimeLeft(TimePoint deadline, TimePoint now) noexcept;

/**
 * Returns the value of `x-qh-deadline-ms` for the next hop in ms: the time left without
 * `hop_allowance`, which is kept for the way there and back; rounded down, 0 if nothing remains.
 */
std::int64_t NextHopMillis(TimePoint deadline, TimePoint now, Duration hop_allowance) noexcept;

/**
 * Returns how long one attempt may take: all the time left, or, if a second attempt is possible, so
 * much that `expected` remains for it; never less than half of the time left.
 */
Duration MaxAttemptDuration(TimePoint deadline, TimePoint now, Duration expected,
                            bool second_attempt_possible) noexcept;

}  // namespace qh::retries
