#include "quetzalhinge/http/memory_budget.h"

#include <utility>

namespace qh::http {

std::size_t MemoryBudget::MaxReservedFor(MessageKind kind,
                                         std::size_t message_bytes) const noexcept {
  if (message_bytes <= kMaxSmallMessage) {
    return m_options.max_bytes;
  }
  return kind == MessageKind::kRequest ? m_options.max_bytes_for_large_requests
                                       : m_options.max_bytes_for_large_responses;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget, MessageKind kind,
                                     std::function<void()> on_revoked)
    : m_budget(std::move(budget)), m_kind(kind), m_on_revoked(std::move(on_revoked)) {}

MemoryReservation::~MemoryReservation() { SetSize(0); }

bool MemoryReservation::Resize(std::size_t bytes) {
  m_grown_at = m_budget->m_clock();
  SetSize(bytes);
  while (bytes > 0 && m_budget->Reserved() > m_budget->MaxReservedFor(m_kind, bytes)) {
    MemoryReservation* const rejected = FirstToRevoke();
    ++m_budget->Of(rejected->m_kind).rejected;
    rejected->SetSize(0);
    if (rejected == this) {
      return false;
    }
    // Copied, because it destroys the reservation.
    const std::function<void()> on_revoked = rejected->m_on_revoked;
    on_revoked();
  }
  return true;
}

MemoryReservation* MemoryReservation::FirstToRevoke() {
  const TimePoint now = m_budget->m_clock();
  // Of messages of the same size, the one that grows is rejected.
  MemoryReservation* first = this;
  for (MemoryReservation* const reservation : m_budget->m_reading) {
    const bool may_be_revoked =
        reservation->m_kind == MessageKind::kRequest || m_kind == MessageKind::kResponse;
    if (may_be_revoked && reservation->GivesWayBefore(*first, now)) {
      first = reservation;
    }
  }
  return first;
}

bool MemoryReservation::GivesWayBefore(const MemoryReservation& other, TimePoint now) const {
  const auto is_stalled = [now](const MemoryReservation& reservation) {
    return reservation.m_bytes > MemoryBudget::kMaxSmallMessage &&
           now - reservation.m_grown_at > MemoryBudget::kStalledAfter;
  };
  if (is_stalled(*this) != is_stalled(other)) {
    return is_stalled(*this);
  }
  return m_bytes > other.m_bytes;
}

void MemoryReservation::Complete() {
  m_budget->m_reading.erase(this);
  m_on_revoked = nullptr;
}

void MemoryReservation::SetSize(std::size_t bytes) {
  if (bytes == m_bytes) {
    return;
  }
  std::size_t& reserved = m_budget->Of(m_kind).reserved;
  reserved = reserved + bytes - m_bytes;
  m_bytes = bytes;
  if (bytes == 0) {
    m_budget->m_reading.erase(this);
  } else {
    m_budget->m_reading.insert(this);
  }
}

}  // namespace qh::http
