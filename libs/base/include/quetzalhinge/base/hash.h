#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace qh {

/** Returns the 64-bit XXH3 hash of `data` under `seed`. The same on every machine and run. */
std::uint64_t HashBytes(std::string_view data, std::uint64_t seed = 0) noexcept;

/**
 * Returns a hash of several parts. The length of each part takes part in the hash, so that
 * {"ab", "c"} and {"a", "bc"} differ.
 */
std::uint64_t HashParts(std::initializer_list<std::string_view> parts) noexcept;

}  // namespace qh
