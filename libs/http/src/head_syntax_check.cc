#include "head_syntax_check.h"

namespace qh::http {
namespace {

/** Returns whether `c` may be part of a token (RFC 9110, section 5.6.2). */
bool IsTokenCharacter(char c) noexcept {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         kPunctuation.find(c) != std::string_view::npos;
}

}  // namespace

std::size_t HeadSyntaxCheck::Read(std::string_view bytes) noexcept {
  for (std::size_t i = 0; i < bytes.size() && m_position != Position::kAfterHead; ++i) {
    m_position = Next(bytes[i]);
    if (m_position == Position::kMalformed) {
      return i;
    }
    m_after_cr = bytes[i] == '\r';
  }
  return bytes.size();
}

HeadSyntaxCheck::Position HeadSyntaxCheck::Next(char c) const noexcept {
  if (m_after_cr && c != '\n') {
    return Position::kMalformed;
  }
  if (c == '\r') {
    return m_position == Position::kFieldName ? Position::kMalformed : m_position;
  }
  switch (m_position) {
    case Position::kBeforeFirstLine:
      return c == '\n' ? Position::kBeforeFirstLine : Position::kFirstLine;
    case Position::kFirstLine:
    case Position::kFieldValue:
      return c == '\n' ? Position::kFieldStart : m_position;
    case Position::kFieldStart:
      if (c == '\n') {
        return Position::kAfterHead;
      }
      return IsTokenCharacter(c) ? Position::kFieldName : Position::kMalformed;
    case Position::kFieldName:
      if (c == ':') {
        return Position::kFieldValue;
      }
      return IsTokenCharacter(c) ? Position::kFieldName : Position::kMalformed;
    case Position::kAfterHead:
    case Position::kMalformed:
      break;
  }
  return m_position;
}

}  // namespace qh::http
