#pragma once

#include <string>
#include <vector>

namespace qh::ctl {

/** A text table with left-aligned columns, each as wide as its widest cell. */
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /** Adds a row, which must have as many cells as the header. */
  void Add(std::vector<std::string> row);

  /** Returns the header and the rows, one per line. */
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace qh::ctl
