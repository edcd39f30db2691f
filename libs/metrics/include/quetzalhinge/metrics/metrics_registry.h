#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "quetzalhinge/metrics/latency_histogram.h"

namespace qh::metrics {

/** A count that only grows. Owned by one loop; not safe to share between threads. */
class Counter {
 public:
  /** Adds `amount`. */
  void Add(std::uint64_t amount = 1) noexcept { m_value += amount; }

  /** Returns the count since the process started. */
  std::uint64_t Value() const noexcept { return m_value; }

 private:
  std::uint64_t m_value = 0;
};

/** A value that goes up and down. Owned by one loop. */
class Gauge {
 public:
  /** Sets the value. */
  void Set(double value) noexcept { m_value = value; }

  /** Adds `amount`, which may be negative. */
  void Add(double amount) noexcept { m_value += amount; }

  /** Returns the current value. */
  double Value() const noexcept { return m_value; }

 private:
  double m_value = 0;
};

/**
 * The metrics of a process by name and labels. References that it hands out stay valid as long as
 * the registry lives, so that callers look a metric up once and then only add to it.
 */
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /**
   * Returns the counter `name` with `labels`, made on first use.
   * @param name for example "qh_calls_total"
   * @param labels Prometheus form without braces, for example "outcome=\"ran\""; may be empty
   */
  Counter& CounterOf(std::string_view name, std::string_view labels = "");

  /** Returns the gauge `name` with `labels`, made on first use. */
  Gauge& GaugeOf(std::string_view name, std::string_view labels = "");

  /** Returns the histogram `name` with `labels`, made on first use. Exported in seconds. */
  LatencyHistogram& HistogramOf(std::string_view name, std::string_view labels = "");

  /** Returns all metrics in the Prometheus text format, sorted by name and labels. */
  std::string PrometheusText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::metrics
