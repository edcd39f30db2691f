#include "quetzalhinge/gossip/pause_detector.h"

#include <chrono>

namespace qh::gossip {
namespace {

/**
 * Time that it takes after a pause to read the messages that arrived during it: a few hundred small
 * ones, interleaved with other work of the event loop.
 */
constexpr std::chrono::milliseconds kBacklogTime{100};

}  // namespace

PauseDetector::PauseDetector(TimePoint start, Duration max_gap) noexcept
    : m_last_call(start), m_max_gap(max_gap), m_resumed_at(start) {}

Duration PauseDetector::Observe(TimePoint now) noexcept {
  const Duration gap = now - m_last_call;
  m_last_call = now;
  if (gap <= m_max_gap) {
    return {};
  }
  m_pause = gap;
  m_resumed_at = now;
  return gap;
}

Duration PauseDetector::MaxQueueDelay(TimePoint now) const noexcept {
  return now - m_resumed_at <= kBacklogTime ? m_pause : Duration{};
}

}  // namespace qh::gossip
