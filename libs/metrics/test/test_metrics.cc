#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "quetzalhinge/metrics/metrics_registry.h"

namespace qh::metrics {
namespace {

using std::chrono::microseconds;

TEST_CASE("A histogram's quantiles are at most 6.25% above the true values") {
  const bool holds = rc::check([] {
    auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
        rc::gen::inRange<std::int64_t>(0, 100000000)));
    LatencyHistogram histogram;
    for (const std::int64_t value : values) {
      histogram.Record(microseconds(value));
    }
    std::sort(values.begin(), values.end());
    const std::int64_t median = values[(values.size() + 1) / 2 - 1];
    const std::int64_t reported = histogram.Quantile(0.5).count();
    RC_ASSERT(reported >= median);
    RC_ASSERT(static_cast<double>(reported) <= static_cast<double>(median) * 1.0625 + 1);
    RC_ASSERT(histogram.Quantile(1.0).count() == values.back());
  });
  CHECK(holds);
}

TEST_CASE("A merged histogram includes the counts of both histograms") {
  LatencyHistogram a;
  LatencyHistogram b;
  a.Record(microseconds(100));
  b.Record(microseconds(90000));
  b.Record(microseconds(-5));
  a.Merge(b);
  CHECK(a.Count() == 3);
  CHECK(a.Max() == microseconds(90000));
  CHECK(a.CountAtOrBelow(microseconds(1000)) == 2);
}

TEST_CASE("Metrics are exported in the Prometheus text format") {
  MetricsRegistry registry;
  registry.CounterOf("qh_calls_total", "outcome=\"ran\"").Add(2);
  registry.GaugeOf("qh_in_progress").Set(1.5);
  registry.HistogramOf("qh_call_seconds").Record(microseconds(400));
  const std::string text = registry.PrometheusText();
  CHECK(text.find("# TYPE qh_calls_total counter\nqh_calls_total{outcome=\"ran\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("qh_in_progress 1.5\n") != std::string::npos);
  CHECK(text.find("qh_call_seconds_bucket{le=\"0.0005\"} 1\n") != std::string::npos);
  CHECK(text.find("qh_call_seconds_count 1\n") != std::string::npos);
}

}  // namespace
}  // namespace qh::metrics
