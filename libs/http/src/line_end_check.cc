#include "line_end_check.h"

namespace qh::http {

void LineEndCheck::Read(std::string_view bytes) noexcept {
  for (const char c : bytes) {
    if (m_required != '\0' && c != m_required) {
      m_is_valid = false;
    }
    m_required = c == '\r' ? '\n' : '\0';
  }
}

void LineEndCheck::OnBodyData() noexcept {
  m_is_valid = m_is_valid && m_required != '\n';
  m_required = '\r';
}

}  // namespace qh::http
