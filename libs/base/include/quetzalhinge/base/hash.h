#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace qh {

/** Returns the 64-bit XXH3 hash of `data` with `seed`; identical on all machines and runs. */
std::uint64_t HashBytes(std::string_view data, std::uint64_t seed = 0) noexcept;

/**
 * Returns a hash of several parts. The length of each part is included, so that {"ab", "c"} and
 * {"a", "bc"} have different hashes.
 */
std::uint64_t HashParts(std::initializer_list<std::string_view> parts) noexcept;

}  // namespace qh
