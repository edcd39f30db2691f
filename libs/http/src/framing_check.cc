#include "framing_check.h"

#include <algorithm>

#include "ascii_case.h"

namespace qh::http {
namespace {

std::string_view Trim(std::string_view text) noexcept {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

bool IsDecimalNumber(std::string_view text) noexcept {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

Framing CheckFraming(std::string_view raw_head) noexcept {
  int content_lengths = 0;
  int transfer_encodings = 0;
  std::size_t position = raw_head.find('\n');
  while (position != std::string_view::npos) {
    const std::size_t start = position + 1;
    position = raw_head.find('\n', start);
    const std::string_view line = raw_head.substr(start, position - start);
    if (line.empty() || line == "\r") {
      break;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    // Blanks before the colon are trimmed too, so that "content-length :" is counted.
    const std::string_view name = Trim(line.substr(0, colon));
    const std::string_view value = Trim(line.substr(colon + 1));
    if (EqualsIgnoringCase(name, "content-length")) {
      ++content_lengths;
      if (!IsDecimalNumber(value)) {
        return Framing::kAmbiguous;
      }
    } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
      ++transfer_encodings;
      if (!EqualsIgnoringCase(value, "chunked")) {
        return Framing::kAmbiguous;
      }
    }
  }
  return content_lengths + transfer_encodings > 1 ? Framing::kAmbiguous : Framing::kUnambiguous;
}

}  // namespace qh::http
