#include "quetzalhinge/http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace qh::http {

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget,
                                     std::function<void()> on_revoked)
    : m_budget(std::move(budget)), m_on_revoked(std::move(on_revoked)) {}

MemoryReservation::~MemoryReservation() { SetSize(0); }

bool MemoryReservation::Resize(std::size_t bytes) {
  if (m_budget == nullptr) {
    return true;
  }
  SetSize(bytes);
  while (m_budget->m_reserved > m_budget->m_max_bytes) {
    MemoryReservation* const largest =
        *std::max_element(m_budget->m_reservations.begin(), m_budget->m_reservations.end(),
                          [](const auto* a, const auto* b) { return a->m_bytes < b->m_bytes; });
    // Of messages of the same size, the one that grows is rejected.
    MemoryReservation* const rejected = largest->m_bytes > m_bytes ? largest : this;
    ++m_budget->m_rejected_messages;
    rejected->SetSize(0);
    if (rejected == this) {
      return false;
    }
    rejected->m_on_revoked();
  }
  return true;
}

void MemoryReservation::SetSize(std::size_t bytes) {
  if (m_budget == nullptr || bytes == m_bytes) {
    return;
  }
  m_budget->m_reserved += bytes;
  m_budget->m_reserved -= m_bytes;
  m_bytes = bytes;
  if (bytes == 0) {
    m_budget->m_reservations.erase(this);
  } else {
    m_budget->m_reservations.insert(this);
  }
}

}  // namespace qh::http
