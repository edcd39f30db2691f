#include "quetzalhinge/settings/settings_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <sstream>

namespace qh::settings {
namespace {

using std::chrono::milliseconds;

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  return first == std::string::npos ? ""
                                    : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template <typename Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

struct TimeUnit {
  const char* name;
  std::int64_t millis;
};
/** Upper bound of a duration in a file, above 30,000 years. A double represents it exactly. */
constexpr double kMaxMillis = 1e15;

constexpr std::array<TimeUnit, 3> kTimeUnits{{{"ms", 1}, {"s", 1000}, {"min", 60000}}};

std::optional<milliseconds> ParseTime(const std::string& text) {
  double count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || !std::isfinite(count)) {
    return std::nullopt;
  }
  const std::string unit = Trim(std::string(end, text.data() + text.size()));
  for (const TimeUnit& candidate : kTimeUnits) {
    const double millis = count * static_cast<double>(candidate.millis);
    if (unit == candidate.name && std::abs(millis) <= kMaxMillis) {
      return milliseconds(std::llround(millis));
    }
  }
  return std::nullopt;
}

std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[b.size()];
}

std::string NearestNameHint(const std::string& name, const std::vector<std::string>& known) {
  const auto nearest =
      std::min_element(known.begin(), known.end(), [&](const std::string& a, const std::string& b) {
        return EditDistance(name, a) < EditDistance(name, b);
      });
  return nearest == known.end() ? "nothing" : "nearest known name is \"" + *nearest + "\"";
}

std::string RangeText(const std::string& min, const std::string& max, const std::string& kind) {
  return kind + " from " + min + " to " + max;
}

std::string NumberText(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace

SettingsReader::SettingsReader(const IniDocument& document)
    : m_document(document), m_problems(document.syntax_problems) {}

std::string SettingsReader::Text(const std::string& section, const std::string& key,
                                 const std::optional<std::string>& fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or("");
  }
  if (entry->value.empty()) {
    AddProblem(*entry, "a text that is not empty");
  }
  return entry->value;
}

std::int64_t SettingsReader::Integer(const std::string& section, const std::string& key,
                                     std::int64_t min, std::int64_t max,
                                     std::optional<std::int64_t> fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or(min);
  }
  const std::optional<std::int64_t> value = ParseNumber<std::int64_t>(entry->value);
  if (!value.has_value() || *value < min || *value > max) {
    AddProblem(*entry, RangeText(std::to_string(min), std::to_string(max), "a whole number"));
    return fallback.value_or(min);
  }
  return *value;
}

double SettingsReader::Number(const std::string& section, const std::string& key, double min,
                              double max, std::optional<double> fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or(min);
  }
  const std::optional<double> value = ParseNumber<double>(entry->value);
  // Written as a negation so that "nan" is rejected.
  if (!value.has_value() || !(*value >= min && *value <= max)) {
    AddProblem(*entry, RangeText(NumberText(min), NumberText(max), "a number"));
    return fallback.value_or(min);
  }
  return *value;
}

milliseconds SettingsReader::Time(const std::string& section, const std::string& key,
                                  milliseconds min, milliseconds max,
                                  std::optional<milliseconds> fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or(min);
  }
  const std::optional<milliseconds> value = ParseTime(entry->value);
  if (!value.has_value() || *value < min || *value > max) {
    AddProblem(*entry,
               RangeText(std::to_string(min.count()) + " ms", std::to_string(max.count()) + " ms",
                         "a number with the unit ms, s or min,"));
    return fallback.value_or(min);
  }
  return *value;
}

bool SettingsReader::YesNo(const std::string& section, const std::string& key,
                           std::optional<bool> fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or(false);
  }
  if (entry->value != "yes" && entry->value != "no") {
    AddProblem(*entry, "yes or no");
  }
  return entry->value == "yes";
}

IpEndpoint SettingsReader::Endpoint(const std::string& section, const std::string& key,
                                    const std::optional<IpEndpoint>& fallback) {
  const IniEntry* entry = Find(section, key, !fallback.has_value());
  if (entry == nullptr) {
    return fallback.value_or(IpEndpoint{});
  }
  const std::optional<IpEndpoint> value = ParseIpEndpoint(entry->value);
  if (!value.has_value()) {
    AddProblem(*entry, "an IP number and a port, for example 127.0.0.1:8000");
  }
  return value.value_or(IpEndpoint{});
}

std::vector<IpEndpoint> SettingsReader::Endpoints(const std::string& section,
                                                  const std::string& key) {
  std::vector<IpEndpoint> endpoints;
  const IniEntry* entry = Find(section, key, false);
  for (const std::string& item : List(section, key)) {
    const std::optional<IpEndpoint> value = ParseIpEndpoint(item);
    if (value.has_value()) {
      endpoints.push_back(*value);
    } else {
      AddProblem(*entry, "IP numbers with ports, separated by commas");
    }
  }
  return endpoints;
}

std::vector<std::string> SettingsReader::List(const std::string& section, const std::string& key) {
  std::vector<std::string> items;
  const IniEntry* entry = Find(section, key, false);
  if (entry == nullptr) {
    return items;
  }
  std::istringstream input(entry->value);
  std::string item;
  while (std::getline(input, item, ',')) {
    if (!Trim(item).empty()) {
      items.push_back(Trim(item));
    }
  }
  return items;
}

std::vector<std::string> SettingsReader::SectionsWithPrefix(const std::string& prefix) {
  std::vector<std::string> names;
  for (const IniSection& section : m_document.sections) {
    if (section.name.starts_with(prefix) && section.name.size() > prefix.size()) {
      names.push_back(section.name.substr(prefix.size()));
      m_known_sections.push_back(section.name);
    }
  }
  return names;
}

bool SettingsReader::Has(const std::string& section, const std::string& key) const {
  return std::any_of(
      m_document.entries.begin(), m_document.entries.end(),
      [&](const IniEntry& entry) { return entry.section == section && entry.key == key; });
}

void SettingsReader::AddProblem(const std::string& section, const std::string& key,
                                const std::string& allowed) {
  const IniEntry* entry = Find(section, key, false);
  if (entry != nullptr) {
    AddProblem(*entry, allowed);
  } else {
    m_problems.push_back({m_document.file, 0, section, key, "", allowed});
  }
}

std::vector<SettingsProblem> SettingsReader::Finish() {
  ReportUnknownSections();
  ReportUnknownAndDuplicatedKeys();
  std::stable_sort(
      m_problems.begin(), m_problems.end(),
      [](const SettingsProblem& a, const SettingsProblem& b) { return a.line < b.line; });
  return m_problems;
}

const IniEntry* SettingsReader::Find(const std::string& section, const std::string& key,
                                     bool required) {
  Declare(section, key);
  for (const IniEntry& entry : m_document.entries) {
    if (entry.section == section && entry.key == key) {
      return &entry;
    }
  }
  if (required) {
    m_problems.push_back({m_document.file, 0, section, key, "", "the key is required"});
  }
  return nullptr;
}

void SettingsReader::AddProblem(const IniEntry& entry, const std::string& allowed) {
  m_problems.push_back({m_document.file, entry.line, entry.section, entry.key,
                        entry.value.empty() ? "(nothing)" : entry.value, allowed});
}

void SettingsReader::Declare(const std::string& section, const std::string& key) {
  if (std::find(m_known_sections.begin(), m_known_sections.end(), section) ==
      m_known_sections.end()) {
    m_known_sections.push_back(section);
  }
  m_known_keys.emplace_back(section, key);
}

void SettingsReader::ReportUnknownSections() {
  for (std::size_t i = 0; i < m_document.sections.size(); ++i) {
    const IniSection& section = m_document.sections[i];
    if (std::find(m_known_sections.begin(), m_known_sections.end(), section.name) ==
        m_known_sections.end()) {
      m_problems.push_back({m_document.file, section.line, section.name, "", section.name,
                            "no such section; " + NearestNameHint(section.name, m_known_sections)});
    }
    const bool repeated = std::any_of(
        m_document.sections.begin(), m_document.sections.begin() + static_cast<std::ptrdiff_t>(i),
        [&](const IniSection& earlier) { return earlier.name == section.name; });
    if (repeated) {
      m_problems.push_back(
          {m_document.file, section.line, section.name, "", section.name, "each section once"});
    }
  }
}

void SettingsReader::ReportUnknownAndDuplicatedKeys() {
  for (std::size_t i = 0; i < m_document.entries.size(); ++i) {
    const IniEntry& entry = m_document.entries[i];
    std::vector<std::string> known_keys;
    for (const auto& [section, key] : m_known_keys) {
      if (section == entry.section) {
        known_keys.push_back(key);
      }
    }
    if (known_keys.empty()) {
      continue;  // ReportUnknownSections() has reported the section.
    }
    if (std::find(known_keys.begin(), known_keys.end(), entry.key) == known_keys.end()) {
      m_problems.push_back({m_document.file, entry.line, entry.section, entry.key, entry.key,
                            "no such key; " + NearestNameHint(entry.key, known_keys)});
    }
    for (std::size_t j = 0; j < i; ++j) {
      const IniEntry& earlier = m_document.entries[j];
      if (earlier.section == entry.section && earlier.key == entry.key) {
        m_problems.push_back(
            {m_document.file, entry.line, entry.section, entry.key, entry.value,
             "each key once; first given in line " + std::to_string(earlier.line)});
        break;
      }
    }
  }
}

}  // namespace qh::settings
