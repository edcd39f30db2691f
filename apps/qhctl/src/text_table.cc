#include "text_table.h"

#include <algorithm>
#include <utility>

namespace qh::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) { m_rows.push_back(std::move(header)); }

void TextTable::Add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

std::string TextTable::ToText() const {
  std::vector<std::size_t> widths(m_rows.front().size(), 0);
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace qh::ctl
