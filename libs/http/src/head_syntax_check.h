#pragma once

#include <cstddef>
#include <string_view>

namespace qh::http {

/**
 * Checks the lines of a message head that http_parser accepts although RFC 9112 does not: field
 * names that are no tokens (section 5.1), folded lines (section 5.2) and CR without LF (section
 * 2.2). A malformed line could be passed on, or change which bytes are taken for the body. Lines
 * may end with a single LF.
 */
class HeadSyntaxCheck {
 public:
  /**
   * Reads the next bytes of a message. Bytes after the head have no effect.
   * @return the number of bytes before the one that makes a line malformed
   */
  std::size_t Read(std::string_view bytes) noexcept;

  /** Prepares for the next message. */
  void Restart() noexcept { *this = HeadSyntaxCheck(); }

  /** Returns whether no line that was read is malformed. */
  bool IsValid() const noexcept { return m_position != Position::kMalformed; }

 private:
  enum class Position {
    /** Before the request or status line, where blank lines are skipped. */
    kBeforeFirstLine,
    kFirstLine,
    kFieldStart,
    kFieldName,
    kFieldValue,
    kAfterHead,
    kMalformed,
  };

  Position Next(char c) const noexcept;

  Position m_position = Position::kBeforeFirstLine;
  bool m_after_cr = false;
};

}  // namespace qh::http
