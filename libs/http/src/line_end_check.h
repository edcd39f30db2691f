#pragma once

#include <string_view>

namespace qh::http {

/**
 * Checks the ends of the lines and chunks of a chunked body (RFC 9112, sections 2.2 and 7.1).
 * http_parser accepts any byte after CR and any two bytes after the data of a chunk, so that a body
 * with a wrong chunk size could count as complete.
 */
class LineEndCheck {
 public:
  /** Reads the next bytes after the head that are not data of the body. */
  void Read(std::string_view bytes) noexcept;

  /** Tells that data of the body follows the bytes that were read. */
  void OnBodyData() noexcept;

  /** Prepares for the next message. */
  void Restart() noexcept { *this = LineEndCheck(); }

  /** Returns whether no line or chunk that was read has a malformed end. */
  bool IsValid() const noexcept { return m_is_valid; }

 private:
  /** The byte that must come next; '\0' if any byte may. */
  char m_required = '\0';
  bool m_is_valid = true;
};

}  // namespace qh::http
