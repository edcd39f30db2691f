#include "quetzalhinge/gateway/confirmation_schedule.h"

#include <algorithm>

namespace qh::gateway {
namespace {

constexpr double kMaxUnconfirmedFraction = 0.6;
constexpr double kFirstRetryFraction = 0.2;
constexpr double kRetryFraction = 0.4;

Duration Scale(std::chrono::milliseconds time, double fraction) {
  return std::chrono::duration_cast<Duration>(time * fraction);
}

}  // namespace

ConfirmationLimits ConfirmationLimitsFor(std::chrono::milliseconds apply_within) {
  return {Scale(apply_within, kMaxUnconfirmedFraction), Scale(apply_within, kFirstRetryFraction),
          Scale(apply_within, kRetryFraction)};
}

ConfirmationSchedule::ConfirmationSchedule(const ConfirmationLimits& limits, TimePoint start)
    : m_limits(limits), m_confirmed_at(start) {}

void ConfirmationSchedule::OnConfirmed(TimePoint at) {
  if (at > m_confirmed_at) {
    m_confirmed_at = at;
    m_checks = 0;
  }
}

void ConfirmationSchedule::OnCheckStarted(TimePoint now) {
  m_checked_at = now;
  ++m_checks;
}

TimePoint ConfirmationSchedule::NextCheck() const noexcept {
  const TimePoint first = m_confirmed_at + m_limits.max_unconfirmed;
  if (m_checks == 0) {
    return first;
  }
  const Duration retry = m_checks == 1 ? m_limits.first_retry : m_limits.retry;
  return std::max(first, m_checked_at + std::max(retry, m_min_retry));
}

}  // namespace qh::gateway
