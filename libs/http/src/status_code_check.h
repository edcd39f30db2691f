#pragma once

#include <string_view>

namespace qh::http {

/**
 * Returns whether `status` may be the status code of a response: 100 to 599 (RFC 9110, section 15)
 * without 101, since no request of this project asks for another protocol.
 */
bool IsValidStatus(int status) noexcept;

/**
 * Counts the digits of the status code in a response (RFC 9112, section 4: exactly three).
 * http_parser accepts codes with any number of digits, and reads "00200" as 200.
 */
class StatusCodeCheck {
 public:
  /** Reads the next bytes of a response. Bytes after the status code have no effect. */
  void Read(std::string_view bytes) noexcept;

  /** Prepares for the next response. */
  void Restart() noexcept { *this = StatusCodeCheck(); }

  /** Returns whether the code that was read has three digits. */
  bool HasThreeDigits() const noexcept;

 private:
  enum class Position { kVersion, kCode, kAfterCode };

  Position m_position = Position::kVersion;
  int m_digits = 0;
};

}  // namespace qh::http
