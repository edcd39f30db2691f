#include "measured_series.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace qh::capacity {
namespace {

constexpr std::size_t kMaxRowBytes = 200;

/** Returns the sorted results of all runs at one size. */
std::vector<double> MeasureAtSize(const Series& series, std::size_t size, int runs) {
  std::vector<double> values;
  for (int i = 0; i < runs; ++i) {
    values.push_back(series.measure(size));
  }
  std::sort(values.begin(), values.end());
  return values;
}

}  // namespace

MeasuredSeries Measure(const Series& series, const MeasureOptions& options) {
  MeasuredSeries measured{series, {}, {}, 0};
  // Warm-up run: the first use of a type allocates library tables that later uses share.
  series.measure(std::max<std::size_t>(1, series.sizes.front() / options.size_divisor));
  for (const std::size_t full_size : series.sizes) {
    const std::size_t size = std::max<std::size_t>(1, full_size / options.size_divisor);
    const std::vector<double> values =
        MeasureAtSize(series, size, std::min(options.runs, series.max_runs));
    const double median = values[values.size() / 2];
    measured.points.push_back({static_cast<double>(size), median});
    if (median > 0) {
      measured.spread = std::max(measured.spread, (values.back() - values.front()) / median);
    }
  }
  measured.fit = FitLine(measured.points);
  return measured;
}

std::string TableHeader() {
  char row[kMaxRowBytes];
  std::snprintf(row, sizeof row, "%-32s %-18s %12s %14s %9s %8s  %s", "series", "slope per",
                "slope", "intercept", "residual", "spread", "sizes");
  return row;
}

std::string TableRow(const MeasuredSeries& measured) {
  const std::string unit = measured.series.value_unit + "/" + measured.series.size_unit;
  char row[kMaxRowBytes];
  std::snprintf(row, sizeof row, "%-32s %-18s %12.4g %14.4g %8.1f%% %7.0f%%  %.0f..%.0f",
                measured.series.name.c_str(), unit.c_str(), measured.fit.slope,
                measured.fit.intercept, measured.fit.residual * 100, measured.spread * 100,
                measured.points.front().size, measured.points.back().size);
  return row;
}

nlohmann::json ToJson(const MeasuredSeries& measured) {
  nlohmann::json points = nlohmann::json::array();
  for (const SizedValue& point : measured.points) {
    points.push_back({{"size", point.size}, {"value", point.value}});
  }
  return {{"name", measured.series.name},
          {"size_unit", measured.series.size_unit},
          {"value_unit", measured.series.value_unit},
          {"points", std::move(points)},
          {"slope", measured.fit.slope},
          {"intercept", measured.fit.intercept},
          {"residual", measured.fit.residual},
          {"spread", measured.spread}};
}

void Append(std::vector<Series>& all, std::vector<Series> more) {
  all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

}  // namespace qh::capacity
