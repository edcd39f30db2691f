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

/** Requires that a row has a version; 0 means that it is absent. */
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

/** Sets a row's value and raises its version by 1. */
struct TableWrite {
  std::string key;
  nlohmann::json value;
};

/** The table service's rows and conditional transactions. */
class PlatformTable {
 public:
  /** Returns the row, or nothing. */
  const TableRow* Find(const std::string& key) const;

  /** Returns at most `limit` rows in key order whose keys start with `prefix` and follow `after`.
   */
  nlohmann::json List(const std::string& prefix, const std::string& after, std::size_t limit) const;

  /**
   * Applies all writes if all conditions hold, or none of them.
   * @return nothing if applied, otherwise the first condition that failed, with the version found
   */
  std::optional<TableCondition> Apply(const std::vector<TableCondition>& conditions,
                                      const std::vector<TableWrite>& writes);

 private:
  std::map<std::string, TableRow> m_rows;
};

}  // namespace qh::standin
