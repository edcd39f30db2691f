#include "platform_table.h"

#include <algorithm>

namespace qh::standin {

const TableRow* PlatformTable::Find(const std::string& key) const {
  const auto row = m_rows.find(key);
  return row == m_rows.end() ? nullptr : &row->second;
}

nlohmann::json PlatformTable::List(const std::string& prefix, const std::string& after,
                                   std::size_t limit) const {
  nlohmann::json rows = nlohmann::json::array();
  auto row = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
  for (; row != m_rows.end() && row->first.starts_with(prefix) && rows.size() < limit; ++row) {
    rows.push_back(
        {{"key", row->first}, {"version", row->second.version}, {"value", row->second.value}});
  }
  return rows;
}

std::optional<TableCondition> PlatformTable::Apply(const std::vector<TableCondition>& conditions,
                                                   const std::vector<TableWrite>& writes) {
  for (const TableCondition& condition : conditions) {
    const TableRow* row = Find(condition.key);
    const std::uint64_t version = row == nullptr ? 0 : row->version;
    if (version != condition.version) {
      return TableCondition{condition.key, version};
    }
  }
  for (const TableWrite& write : writes) {
    TableRow& row = m_rows[write.key];
    ++row.version;
    row.value = write.value;
  }
  return std::nullopt;
}

}  // namespace qh::standin
