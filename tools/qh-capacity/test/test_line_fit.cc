#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "line_fit.h"
#include "measured_series.h"

using qh::capacity::FitLine;
using qh::capacity::LineFit;
using qh::capacity::SizedValue;

// Guards against slopes in docs/CAPACITY.md that do not match the measured points.
TEST_CASE("A line is fitted to measured points") {
  SECTION("points on a line give its slope and intercept and a zero residual") {
    const std::vector<SizedValue> points{{1, 7}, {2, 9}, {4, 13}, {8, 21}};
    const LineFit fit = FitLine(points);
    CHECK(fit.slope == Approx(2));
    CHECK(fit.intercept == Approx(5));
    CHECK(fit.residual == Approx(0).margin(1e-12));
  }
  SECTION("points off the line give the residual as a fraction of the largest value") {
    const std::vector<SizedValue> points{{0, 0}, {1, 4}, {2, 0}, {3, 4}};
    const LineFit fit = FitLine(points);
    CHECK(fit.slope == Approx(0.8));
    CHECK(fit.intercept == Approx(0.8));
    CHECK(fit.residual == Approx(std::sqrt(3.2) / 4));
  }
  SECTION("a single size gives a fit that is not finite") {
    const std::vector<SizedValue> points{{3, 4}, {3, 5}};
    CHECK_FALSE(FitLine(points).IsFinite());
  }
}

// Guards against results that depend on a single disturbed run.
TEST_CASE("The result of a series is the median of its runs") {
  int run = 0;
  const qh::capacity::Series series{"test", "item", "us", {10, 20, 30, 40}, [&](std::size_t size) {
                                      const double disturbance = ++run % 3 == 0 ? 1000 : 0;
                                      return 3.0 * static_cast<double>(size) + disturbance;
                                    }};
  const qh::capacity::MeasuredSeries measured = Measure(series, {3, 1});
  CHECK(measured.fit.slope == Approx(3));
  CHECK(measured.spread > 1);
}
