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
 * Reads typed values from an IniDocument and collects every problem instead of stopping at the
 * first.
 *
 * Each method that names a section and a key also declares them as known. Finish() then reports
 * sections and keys that nothing declared, with the nearest known name. A method that finds a
 * problem returns its default (or a zero value), so that reading can go on.
 */
class SettingsReader {
 public:
  /** The document must outlive the reader. */
  explicit SettingsReader(const IniDocument& document);

  /** Returns a text; without `fallback` the key is required. */
  std::string Text(const std::string& section, const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);

  /** Returns a whole number within [min, max]; without `fallback` the key is required. */
  std::int64_t Integer(const std::string& section, const std::string& key, std::int64_t min,
                       std::int64_t max, std::optional<std::int64_t> fallback = std::nullopt);

  /** Returns a decimal number within [min, max]; without `fallback` the key is required. */
  double Number(const std::string& section, const std::string& key, double min, double max,
                std::optional<double> fallback = std::nullopt);

  /**
   * Returns a duration within [min, max], written as a number with the unit ms, s or min, for
   * example "250 ms" or "2.5s", rounded to whole milliseconds; without `fallback` the key is
   * required.
   */
  std::chrono::milliseconds Time(const std::string& section, const std::string& key,
                                 std::chrono::milliseconds min, std::chrono::milliseconds max,
                                 std::optional<std::chrono::milliseconds> fallback = std::nullopt);

  /** Returns true for "yes" and false for "no"; without `fallback` the key is required. */
  bool YesNo(const std::string& section, const std::string& key,
             std::optional<bool> fallback = std::nullopt);

  /** Returns an "<ip>:<port>"; without `fallback` the key is required. */
  IpEndpoint Endpoint(const std::string& section, const std::string& key,
                      const std::optional<IpEndpoint>& fallback = std::nullopt);

  /** Returns "<ip>:<port>" entries separated by commas; an absent key gives an empty list. */
  std::vector<IpEndpoint> Endpoints(const std::string& section, const std::string& key);

  /** Returns the items of a list separated by commas, without surrounding blanks. */
  std::vector<std::string> List(const std::string& section, const std::string& key);

  /** Returns the value that `table` names; without `fallback` the key is required. */
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

  /** Returns the names after `prefix` of all sections that start with it, and declares them. */
  std::vector<std::string> SectionsWithPrefix(const std::string& prefix);

  /** Returns whether the document has `key` in `section`; declares nothing. */
  bool Has(const std::string& section, const std::string& key) const;

  /** Adds a problem found by a rule of the caller at `section` and `key`. */
  void AddProblem(const std::string& section, const std::string& key, const std::string& allowed);

  /** Reports unknown and duplicated sections and keys, and returns all problems in line order. */
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
