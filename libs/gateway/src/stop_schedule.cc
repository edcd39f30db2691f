#include "stop_schedule.h"

#include <array>

namespace qh::gateway {
namespace {

struct StepEnd {
  StopStep step;
  double grace_fraction;
};

constexpr std::array<StepEnd, 3> kStepEnds{{
    {StopStep::kAccepting, 0.4},
    {StopStep::kFinishing, 0.92},
    {StopStep::kResponding, 0.95},
}};

}  // namespace

StopStep StopSchedule::StepAt(Duration elapsed) const noexcept {
  for (const StepEnd& end : kStepEnds) {
    if (elapsed < m_grace * end.grace_fraction) {
      return end.step;
    }
  }
  return StopStep::kOver;
}

std::optional<Duration> StopSchedule::TimeUntilNextStep(Duration elapsed) const noexcept {
  for (const StepEnd& end : kStepEnds) {
    const auto ends_at = std::chrono::duration_cast<Duration>(m_grace * end.grace_fraction);
    if (elapsed < ends_at) {
      return ends_at - elapsed;
    }
  }
  return std::nullopt;
}

}  // namespace qh::gateway
