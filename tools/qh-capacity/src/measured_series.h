#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "line_fit.h"

namespace qh::capacity {

/** A value to measure as a function of a size. */
struct Series {
  /** Stable name, for example "worker.table_memory". */
  std::string name;
  /** Unit of the size, singular, for example "worker". */
  std::string size_unit;
  /** Unit of the value, for example "B" or "us". */
  std::string value_unit;
  /** Sizes to measure before division by MeasureOptions::size_divisor. */
  std::vector<std::size_t> sizes;
  /** Runs one measurement at a size and returns the value. */
  std::function<double(std::size_t size)> measure;
  /** Maximum number of runs at each size, for series that are slow or do not vary. */
  int max_runs = 1000;
};

/** Number of runs and scale of the sizes for all series. */
struct MeasureOptions {
  /** Number of runs at each size. The result is their median. */
  int runs = 7;
  /** Divides all sizes, for a quick check that all series run. */
  std::size_t size_divisor = 1;
};

/** A series with its results. */
struct MeasuredSeries {
  Series series;
  /** Median of the runs at each size. */
  std::vector<SizedValue> points;
  LineFit fit;
  /** Maximum over all sizes of (maximum - minimum) / median of the runs. */
  double spread = 0;
};

/** Measures a series at all its sizes and fits a line. */
MeasuredSeries Measure(const Series& series, const MeasureOptions& options);

/** Returns a row of the text table. */
std::string TableRow(const MeasuredSeries& measured);

/** Returns the header row of the text table. */
std::string TableHeader();

/** Returns name, units, points, slope, intercept, residual and spread as a JSON object. */
nlohmann::json ToJson(const MeasuredSeries& measured);

/** Appends `more` to `all`. */
void Append(std::vector<Series>& all, std::vector<Series> more);

}  // namespace qh::capacity
