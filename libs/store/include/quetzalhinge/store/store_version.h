#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace qh::store {

/*
 * A version of a table store: the number of a change within one of the store's histories. A store
 * that continues from an older copy begins a new history, in which numbers of the lost changes are
 * used again. The era, which counts the histories, is the upper part of a version, so that versions
 * are ordered over all histories and every version of a later one is greater.
 */

/** Largest numbers of an era and of a change that a version can hold. */
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{1} << 16) - 1;
inline constexpr std::uint64_t kMaxChange = (std::uint64_t{1} << 48) - 1;

/** Returns the version of `change` in `era`; std::nullopt if one of them is too large. */
std::optional<std::uint64_t> MakeVersion(std::uint64_t era, std::uint64_t change) noexcept;

/** Returns the number of the history that `version` belongs to. */
std::uint64_t EraOf(std::uint64_t version) noexcept;

/** Returns the number of the change within its history. */
std::uint64_t ChangeOf(std::uint64_t version) noexcept;

/** Formats a version for logs: "<era>.<change>". */
std::string FormatVersion(std::uint64_t version);

}  // namespace qh::store
