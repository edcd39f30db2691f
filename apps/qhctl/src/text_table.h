#pragma once

#include <string>
#include <vector>

namespace qh::ctl {

/** Columns of text for people; each as wide as its widest cell. */
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /** Adds a row with as many cells as the header. */
  void Add(std::vector<std::string> row);

  /** Returns the lines. */
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace qh::ctl
