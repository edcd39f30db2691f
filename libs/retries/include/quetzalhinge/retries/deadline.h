#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "quetzalhinge/base/time.h"

namespace qh::retries {

/**
 * Parses the value of the header `x-qh-deadline-ms`: the remaining time as a whole number of
 * milliseconds. Values above 10 min are reduced to 10 min, the longest deadline of a contract.
 * @return std::nullopt if `text` is not an unsigned decimal number
 */
std::optional<Duration> ParseTimeLeft(std::string_view text) noexcept;

/**
 * Returns the deadline of a request that arrives at `now`: `contract_deadline` later, or
 * `caller_time_left` later if that is given and shorter.
 */
TimePoint DeadlineOf(TimePoint now, Duration contract_deadline,
                     std::optional<Duration> caller_time_left) noexcept;

/** Returns the time left until `deadline`; 0 if it has passed. */
Duration TimeLeft(TimePoint deadline, TimePoint now) noexcept;

/**
 * Returns the value of `x-qh-deadline-ms` for the next hop, in ms: the time left less
 * `hop_allowance`, which covers the network round trip. Rounded down; 0 if no time remains.
 */
std::int64_t NextHopMillis(TimePoint deadline, TimePoint now, Duration hop_allowance) noexcept;

/**
 * Returns the maximum duration of one attempt: the time left until `deadline`. If a second attempt
 * is possible, `expected` is reserved for it, but at most half of the time left.
 */
Duration MaxAttemptDuration(TimePoint deadline, TimePoint now, Duration expected,
                            bool second_attempt_possible) noexcept;

}  // namespace qh::retries
