#include "quetzalhinge/gateway/confirmation_schedule.h"

#include <algorithm>

namespace qh::gateway {
namespace {

constexpr double kMaxUnconfirmedFraction = 0.6;
constexpr double kFirstRetryFraction = 0.2;
constexpr double kRetryFraction = 0.4;

/** Maximum repeated checks of all VMs together in a second during an outage of the store. */
constexpr std::int64_t kMaxChecksPerSecond = 200;

/** Tables that each VM checks. */
constexpr std::int64_t kTables = 2;

Duration Scale(std::chrono::milliseconds time, double fraction) {
  return std::chrono::duration_cast<Duration>(time * fraction);
}

}  // namespace

ConfirmationLimits ConfirmationLimitsFor(std::chrono::milliseconds apply_within) {
  return {Scale(apply_within, kMaxUnconfirmedFraction), Scale(apply_within, kFirstRetryFraction),
          Scale(apply_within, kRetryFraction)};
}

Duration CheckIntervalFor(std::size_t vm_count) {
  return std::chrono::seconds(1) * kTables * static_cast<std::int64_t>(vm_count) /
         kMaxChecksPerSecond;
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
  // The second check decides whether a change is known in time, and is made only once an outage.
  const Duration retry =
      m_checks == 1 ? m_limits.first_retry : std::max(m_limits.retry, m_min_retry);
  return std::max(first, m_checked_at + retry);
}

}  // namespace qh::gateway
