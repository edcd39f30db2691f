#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace qh {

/** One row of an EnumTable: a value and its stable name. */
template <typename Enum>
struct EnumName {
  Enum value;
  const char* name;
};

/**
 * Maps the values of an enum class to stable names for settings, JSON, counters and logs. An
 * aggregate that is initialised with one row per value.
 */
template <typename Enum, std::size_t kRows>
struct EnumTable {
  std::array<EnumName<Enum>, kRows> rows;

  /** Returns the name of `value`, or "?" if the table has no row for it. */
  constexpr const char* NameOf(Enum value) const noexcept {
    for (const EnumName<Enum>& row : rows) {
      if (row.value == value) {
        return row.name;
      }
    }
    return "?";
  }

  /** Returns the value with the name `name`, or std::nullopt if there is none. */
  constexpr std::optional<Enum> Parse(std::string_view name) const noexcept {
    for (const EnumName<Enum>& row : rows) {
      if (name == row.name) {
        return row.value;
      }
    }
    return std::nullopt;
  }
};

}  // namespace qh
