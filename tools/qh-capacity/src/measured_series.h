#pragma once

#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "line_fit.h"

namespace qh::capacity {

/** What is measured: a value as a function of a size. */
struct Series {
  /** Stable name, for example "worker.table_memory". */
  std::string name;
  /** What the size counts, singular, for example "worker". */
  std::string size_unit;
  /** Unit of the value: "B" or "us". */
  std::string value_unit;
  std::vector<std::size_t> sizes;
  std::function<double(std::size_t size)> measure;
  /** Upper bound on the runs at each size, for series that take long or do not vary. */
  int max_repeats = 1000;
};

/** How often and at which sizes series are measured. */
struct MeasureOptions {
  /** Runs at each size, of which the median counts. */
  int repeats = 7;
  /** Divides all sizes, for a quick check that everything runs. */
  std::size_t size_divisor = 1;
};

/** A series with what was measured. */
struct MeasuredSeries {
  Series series;
  /** Median at each size. */
  std::vector<SizedValue> points;
  LineFit fit;
  /** Largest (maximum - minimum) / median over the sizes. */
  double spread = 0;
};

/** Measures a series at all its sizes and fits a line. */
MeasuredSeries Measure(const Series& series, const MeasureOptions& options);

/** Returns one line of the text table. */
std::string TableRow(const MeasuredSeries& measured);

/** Returns the heading of the text table. */
std::string TableHeading();

/** Returns name, units, points, slope, intercept, residual and spread as a JSON object. */
nlohmann::json ToJson(const MeasuredSeries& measured);

/** Appends `more` to `all`. */
void Append(std::vector<Series>& all, std::vector<Series> more);

}  // namespace qh::capacity
