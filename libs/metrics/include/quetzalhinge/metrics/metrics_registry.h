#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/metrics/latency_histogram.h"

namespace qh::metrics {

/** A monotonically increasing count. Used by one event loop; not thread-safe. */
class Counter {
 public:
  void Add(std::uint64_t amount = 1) noexcept { m_value += amount; }

  /** Returns the count since the process started. */
  std::uint64_t Value() const noexcept { return m_value; }

 private:
  std::uint64_t m_value = 0;
};

/** A value that can increase and decrease. Used by one event loop; not thread-safe. */
class Gauge {
 public:
  void Set(double value) noexcept { m_value = value; }

  /** Adds `amount`, which may be negative. */
  void Add(double amount) noexcept { m_value += amount; }

  double Value() const noexcept { return m_value; }

 private:
  double m_value = 0;
};

/**
 * The metrics of a process by name and labels. Returned references stay valid for the lifetime of
 * the registry, so callers can look up a metric once and update it through the reference.
 */
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /**
   * Returns the counter `name` with `labels`, created on first use.
   * @param name for example "qh_calls_total"
   * @param labels Prometheus form without braces, for example "outcome=\"ran\""; may be empty
   */
  Counter& CounterOf(std::string_view name, std::string_view labels = "");

  /** Returns the gauge `name` with `labels`, created on first use. */
  Gauge& GaugeOf(std::string_view name, std::string_view labels = "");

  /** Returns the histogram `name` with `labels`, created on first use and exported in seconds. */
  LatencyHistogram& HistogramOf(std::string_view name, std::string_view labels = "");

  /** Returns all metrics in the Prometheus text format, sorted by name and labels. */
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::metrics
