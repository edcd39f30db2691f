#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Constants of a ConcurrencyLimit. */
struct ConcurrencyLimitOptions {
  /** Largest limit: the worker's slots and queue, at most this VM's connections to it. */
  std::uint32_t max = 14;
  std::uint32_t initial = 4;
  /** Latency may exceed its usual level by this factor before the limit shrinks. */
  double tolerance = 1.5;
};

/**
 * Adaptive limit on the requests that this VM has in progress at one worker, always within
 * [1, max]. The limit shrinks when recent latency rises above its usual level (latency gradient)
 * and grows slowly while it is used and latency stays level.
 */
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options) noexcept;

  /** Returns whether one more request may start while `in_progress` are running. */
  bool MayStart(std::uint32_t in_progress) const noexcept { return in_progress < Limit(); }

  /**
   * Learns from a complete response.
   * @param latency time from sending the request to the complete response
   * @param expected usual latency of the request's route, so that long work is not taken for a slow
   *     worker; pass the same value for all requests if routes are not known. Samples without a
   *     positive value are ignored.
   * @param in_progress requests in progress at the worker when this one started, itself included
   */
  void OnResponse(Duration latency, Duration expected, std::uint32_t in_progress,
                  TimePoint now) noexcept;

  /**
   * Learns that the worker shed or timed out a request: halves the limit, at most once in 100 ms,
   * since requests sent together fail together.
   */
  void OnOverload(TimePoint now) noexcept;

  /** Returns the present limit, within [1, max]. */
  std::uint32_t Limit() const noexcept { return static_cast<std::uint32_t>(m_limit); }

 private:
  void LearnSlowdown(double slowdown, TimePoint now) noexcept;

  ConcurrencyLimitOptions m_options;
  double m_limit;
  double m_recent_slowdown = 0;
  double m_usual_slowdown = 0;
  TimePoint m_last_sample;
  TimePoint m_last_overload;
};

}  // namespace qh::limits
