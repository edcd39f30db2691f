#include "status_code_check.h"

namespace qh::http {
namespace {

constexpr int kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

}  // namespace

bool IsValidStatus(int status) noexcept {
  return status >= kMinStatus && status <= kMaxStatus && status != kSwitchingProtocols;
}

void StatusCodeCheck::Read(std::string_view bytes) noexcept {
  for (const char c : bytes) {
    if (m_position == Position::kAfterCode) {
      return;
    }
    const bool is_digit = c >= '0' && c <= '9';
    if (m_position == Position::kVersion) {
      m_position = c == ' ' ? Position::kCode : Position::kVersion;
    } else if (is_digit) {
      ++m_digits;
    } else if (m_digits > 0) {
      m_position = Position::kAfterCode;
    }
  }
}

bool StatusCodeCheck::HasThreeDigits() const noexcept { return m_digits == kStatusDigits; }

}  // namespace qh::http
