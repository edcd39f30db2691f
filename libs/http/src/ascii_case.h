#pragma once

#include <algorithm>
#include <cctype>
#include <string_view>

namespace qh::http {

/** Compares two ASCII strings without regard to case. */
inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

}  // namespace qh::http
