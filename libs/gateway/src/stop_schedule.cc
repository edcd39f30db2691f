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

Duration EndOf(const StepEnd& end, Duration grace) {
  return std::chrono::duration_cast<Duration>(grace * end.grace_fraction);
}

}  // namespace

StopStep StopSchedule::StepAt(Duration elapsed) const noexcept {
  for (const StepEnd& end : kStepEnds) {
    if (elapsed < EndOf(end, m_grace)) {
      return end.step;
    }
  }
  return StopStep::kOver;
}

std::optional<Duration> StopSchedule::TimeUntilNextStep(Duration elapsed) const noexcept {
  for (const StepEnd& end : kStepEnds) {
    if (elapsed < EndOf(end, m_grace)) {
      return EndOf(end, m_grace) - elapsed;
    }
  }
  return std::nullopt;
}

}  // namespace qh::gateway
