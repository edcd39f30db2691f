#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace qh::standin {

/** One row of the table. */
struct TableRow {
  std::uint64_t version = 0;
  nlohmann::json value;
};

/** Requires that a row has exactly this version; 0 requires that the row is absent. */
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

/** Sets the value of a row and increments its version. */
struct TableWrite {
  std::string key;
  nlohmann::json value;
};

/** In-memory rows of the table service, with conditional transactions. */
class PlatformTable {
 public:
  /** Returns the row, or nullptr if it is absent. */
  const TableRow* Find(const std::string& key) const;

  /**
   * Returns a JSON array of at most `limit` rows in key order, whose keys start with `prefix` and
   * are greater than `after`.
   */
  nlohmann::json List(const std::string& prefix, const std::string& after, std::size_t limit) const;

  /**
   * Applies all writes if all conditions hold, or none of them.
   * @return std::nullopt if applied, otherwise the key of the first failed condition with the row's
   *         current version
   */
  std::optional<TableCondition> Apply(const std::vector<TableCondition>& conditions,
                                      const std::vector<TableWrite>& writes);

 private:
  std::map<std::string, TableRow> m_rows;
};

}  // namespace qh::standin
