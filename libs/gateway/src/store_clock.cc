#include "quetzalhinge/gateway/store_clock.h"

#include <algorithm>
#include <chrono>

namespace qh::gateway {
namespace {

constexpr std::chrono::milliseconds kReadingUnit{1};

}  // namespace

void StoreClock::OnResponse(Duration reading, TimePoint requested_at, TimePoint received_at) {
  const TimePoint earliest = requested_at - reading - kReadingUnit;
  const TimePoint latest = received_at - reading;
  // The local clock does not count the time for which the VM is suspended, so that earlier bounds
  // may no longer hold.
  const bool is_contradiction = m_zero.has_value() && *m_zero > latest;
  m_zero = is_contradiction ? earliest : std::max(m_zero.value_or(earliest), earliest);
}

std::optional<TimePoint> StoreClock::LocalTimeOf(Duration reading) const {
  return m_zero.has_value() ? std::optional(*m_zero + reading) : std::nullopt;
}

}  // namespace qh::gateway
