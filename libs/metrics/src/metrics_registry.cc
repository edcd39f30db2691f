#include "quetzalhinge/metrics/metrics_registry.h"

#include <array>
#include <map>
#include <sstream>
#include <utility>

namespace qh::metrics {
namespace {

/** Name and labels of a metric. */
using MetricKey = std::pair<std::string, std::string>;

/** Upper bounds of the exported histogram buckets, in microseconds. */
constexpr std::array<std::int64_t, 14> kExportBoundsUs{
    100, 250, 500, 1000, 2500, 5000, 10000, 25000, 50000, 100000, 250000, 500000, 1000000, 5000000};

constexpr double kMicrosPerSecond = 1e6;

template <typename Metric>
Metric& FindOrAdd(std::map<MetricKey, std::unique_ptr<Metric>>& metrics, std::string_view name,
                  std::string_view labels) {
  std::unique_ptr<Metric>& metric = metrics[{std::string(name), std::string(labels)}];
  if (metric == nullptr) {
    metric = std::make_unique<Metric>();
  }
  return *metric;
}

std::string Braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

template <typename Metric>
void WriteValues(std::ostream& out, const std::map<MetricKey, std::unique_ptr<Metric>>& metrics,
                 const char* type) {
  std::string last_name;
  for (const auto& [key, metric] : metrics) {
    if (key.first != last_name) {
      out << "# TYPE " << key.first << " " << type << "\n";
      last_name = key.first;
    }
    out << key.first << Braced(key.second) << " " << metric->Value() << "\n";
  }
}

void WriteHistogram(std::ostream& out, const MetricKey& key, const LatencyHistogram& histogram) {
  const std::string prefix = key.second.empty() ? "" : key.second + ",";
  for (const std::int64_t bound : kExportBoundsUs) {
    out << key.first << "_bucket{" << prefix << "le=\""
        << static_cast<double>(bound) / kMicrosPerSecond << "\"} "
        << histogram.CountAtOrBelow(std::chrono::microseconds(bound)) << "\n";
  }
  out << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << histogram.Count() << "\n";
  out << key.first << "_sum" << Braced(key.second) << " "
      << static_cast<double>(histogram.Sum().count()) / kMicrosPerSecond << "\n";
  out << key.first << "_count" << Braced(key.second) << " " << histogram.Count() << "\n";
}

}  // namespace

struct MetricsRegistry::Impl {
  std::map<MetricKey, std::unique_ptr<Counter>> counters;
  std::map<MetricKey, std::unique_ptr<Gauge>> gauges;
  std::map<MetricKey, std::unique_ptr<LatencyHistogram>> histograms;
};

MetricsRegistry::MetricsRegistry() : m_impl(std::make_unique<Impl>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::CounterOf(std::string_view name, std::string_view labels) {
  return FindOrAdd(m_impl->counters, name, labels);
}

Gauge& MetricsRegistry::GaugeOf(std::string_view name, std::string_view labels) {
  return FindOrAdd(m_impl->gauges, name, labels);
}

LatencyHistogram& MetricsRegistry::HistogramOf(std::string_view name, std::string_view labels) {
  return FindOrAdd(m_impl->histograms, name, labels);
}

std::string MetricsRegistry::PrometheusText() const {
  std::ostringstream out;
  WriteValues(out, m_impl->counters, "counter");
  WriteValues(out, m_impl->gauges, "gauge");
  std::string last_name;
  for (const auto& [key, histogram] : m_impl->histograms) {
    if (key.first != last_name) {
      out << "# TYPE " << key.first << " histogram\n";
      last_name = key.first;
    }
    WriteHistogram(out, key, *histogram);
  }
  return out.str();
}

}  // namespace qh::metrics
