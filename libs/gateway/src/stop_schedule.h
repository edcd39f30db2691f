#pragma once

#include <optional>

#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/** Steps of a planned stop, in order. */
enum class StopStep {
  /** New requests are accepted: callers cache addresses that still contain this VM. */
  kAccepting,
  /** Only requests in progress continue. */
  kFinishing,
  /** Requests still in progress get a response, so that there is time to send it. */
  kResponding,
  /** The process ends even if responses are not sent yet. */
  kOver,
};

/** Divides the grace of a planned stop, after which the process may be killed, into steps. */
class StopSchedule {
 public:
  explicit StopSchedule(Duration grace) noexcept : m_grace(grace) {}

  /** Returns the step at the time `elapsed` since the stop signal. */
  StopStep StepAt(Duration elapsed) const noexcept;

  /** Returns the time from `elapsed` until the next step, or nullopt in the last one. */
  std::optional<Duration> TimeUntilNextStep(Duration elapsed) const noexcept;

 private:
  Duration m_grace;
};

}  // namespace qh::gateway
