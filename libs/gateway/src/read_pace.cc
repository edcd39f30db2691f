#include "read_pace.h"

#include <algorithm>

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * Time from one response of the store to the next while nothing changes, as a fraction of the time
 * within which a change must take effect. Less than the time after which VMs check the store
 * themselves, see ConfirmationLimitsFor().
 */
constexpr double kCycleFraction = 0.55;

/** Shortest and longest pause, as fractions of the same time. The longest delays changes. */
constexpr double kMinPauseFraction = 0.05;
constexpr double kMaxPauseFraction = 0.3;

milliseconds Scale(milliseconds time, double fraction) {
  return std::chrono::duration_cast<milliseconds>(time * fraction);
}

}  // namespace

ReadPace::ReadPace(milliseconds apply_within)
    : m_cycle(Scale(apply_within, kCycleFraction)),
      m_min_pause(Scale(apply_within, kMinPauseFraction)),
      m_max_pause(Scale(apply_within, kMaxPauseFraction)),
      m_pause(m_min_pause) {}

void ReadPace::OnEnded(TimePoint started_at, TimePoint now) {
  const bool ended_early = now - started_at < Wait();
  m_pause = ended_early ? std::min(m_pause * 2, m_max_pause) : m_min_pause;
  m_not_before = now + m_pause;
}

}  // namespace qh::gateway
