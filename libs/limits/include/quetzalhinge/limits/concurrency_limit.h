#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"

namespace qh::limits {

/** Parameters of a ConcurrencyLimit. */
struct ConcurrencyLimitOptions {
  /**
   * Upper bound of the limit: the capacity of the worker (slots and queue), at most the number of
   * connections from this VM to it.
   */
  std::uint32_t max = 14;
  std::uint32_t initial = 4;
  /** The limit shrinks when latency exceeds its baseline by more than this factor. */
  double tolerance = 1.5;
};

/**
 * Adaptive limit on the number of requests that this VM has in progress at one worker, always
 * within [1, max]. The limit follows the latency gradient: it shrinks when recent latency rises
 * above its baseline, and grows slowly while it is utilized and latency is stable.
 */
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitOptions options) noexcept;

  /** Returns whether another request may start while `in_progress` requests are running. */
  bool MayStart(std::uint32_t in_progress) const noexcept { return in_progress < Limit(); }

  /**
   * Updates the limit after a complete response.
   * @param latency time from sending the request to receiving the complete response
   * @param expected usual latency of the request's route. Latency is measured relative to it, so
   *     that slow routes do not look like a slow worker; pass the same value for all requests if
   *     routes are not known. Samples with a non-positive `latency` or `expected` are ignored.
   * @param in_progress requests in progress at the worker when this one started, including it
   */
  void OnResponse(Duration latency, Duration expected, std::uint32_t in_progress,
                  TimePoint now) noexcept;

  /**
   * Halves the limit after the worker shed a request or a request timed out. Applies at most once
   * in 100 ms, because requests sent together fail together.
   */
  void OnOverload(TimePoint now) noexcept;

  /** Returns the current limit, within [1, max]. */
  std::uint32_t Limit() const noexcept { return static_cast<std::uint32_t>(m_limit); }

 private:
  void UpdateLatencyRatios(double latency_ratio, TimePoint now) noexcept;

  ConcurrencyLimitOptions m_options;
  double m_limit;
  double m_recent_latency_ratio = 0;
  double m_baseline_latency_ratio = 0;
  TimePoint m_last_sample;
  TimePoint m_last_overload;
};

}  // namespace qh::limits
