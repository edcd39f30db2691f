#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::settings {

/**
 * Reads typed values from an IniDocument and collects all problems instead of stopping at the first
 * one.
 *
 * Every method that reads a value declares its section and key as known. Finish() reports sections
 * and keys that were not declared, with the nearest known name as a hint. For an invalid value, a
 * method records a problem and returns `fallback` or a placeholder (the minimum, false, the first
 * enum value or an empty value), so that reading can continue. If `fallback` is nullopt, the key is
 * required.
 */
class SettingsReader {
 public:
  /** The document must outlive the reader. */
  explicit SettingsReader(const IniDocument& document);

  /** Returns a string that is not empty. */
  std::string Text(const std::string& section, const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);

  /** Returns an integer within [min, max]. */
  std::int64_t Integer(const std::string& section, const std::string& key, std::int64_t min,
                       std::int64_t max, std::optional<std::int64_t> fallback = std::nullopt);

  /** Returns a decimal number within [min, max]. */
  double Number(const std::string& section, const std::string& key, double min, double max,
                std::optional<double> fallback = std::nullopt);

  /**
   * Returns a duration within [min, max], rounded to whole milliseconds. It is written as a number
   * with the unit ms, s or min, for example "250 ms" or "2.5s".
   */
  std::chrono::milliseconds Time(const std::string& section, const std::string& key,
                                 std::chrono::milliseconds min, std::chrono::milliseconds max,
                                 std::optional<std::chrono::milliseconds> fallback = std::nullopt);

  /** Returns true for "yes" and false for "no". */
  bool YesNo(const std::string& section, const std::string& key,
             std::optional<bool> fallback = std::nullopt);

  /** Returns an address, written as "<ip>:<port>". */
  IpEndpoint Endpoint(const std::string& section, const std::string& key,
                      const std::optional<IpEndpoint>& fallback = std::nullopt);

  /** Returns a comma-separated list of "<ip>:<port>". It is empty if the key is absent. */
  std::vector<IpEndpoint> Endpoints(const std::string& section, const std::string& key);

  /** Returns the trimmed items of a comma-separated list. It is empty if the key is absent. */
  std::vector<std::string> List(const std::string& section, const std::string& key);

  /** Returns the enum value whose name in `table` is given in the file. */
  template <typename Enum, std::size_t kRows>
  Enum Choice(const std::string& section, const std::string& key,
              const EnumTable<Enum, kRows>& table, std::optional<Enum> fallback = std::nullopt) {
    const IniEntry* entry = Find(section, key, !fallback.has_value());
    if (entry == nullptr) {
      return fallback.value_or(table.rows[0].value);
    }
    const std::optional<Enum> value = table.Parse(entry->value);
    if (!value.has_value()) {
      std::string allowed;
      for (const EnumName<Enum>& row : table.rows) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(row.name);
      }
      AddProblem(*entry, allowed);
    }
    return value.value_or(fallback.value_or(table.rows[0].value));
  }

  /** Declares all sections whose names start with `prefix`; returns the rest of their names. */
  std::vector<std::string> SectionsWithPrefix(const std::string& prefix);

  /** Returns whether the document has `key` in `section`. Does not declare them. */
  bool Has(const std::string& section, const std::string& key) const;

  /** Adds a problem that the caller found in the value of `key` in `section`. */
  void AddProblem(const std::string& section, const std::string& key, const std::string& allowed);

  /** Adds unknown and duplicate sections and keys, and returns all problems in line order. */
  std::vector<SettingsProblem> Finish();

 private:
  const IniEntry* Find(const std::string& section, const std::string& key, bool required);
  void AddProblem(const IniEntry& entry, const std::string& allowed);
  void Declare(const std::string& section, const std::string& key);
  void ReportUnknownSections();
  void ReportUnknownAndDuplicatedKeys();

  const IniDocument& m_document;
  std::vector<SettingsProblem> m_problems;
  std::vector<std::string> m_known_sections;
  std::vector<std::pair<std::string, std::string>> m_known_keys;
};

}  // namespace qh::settings
