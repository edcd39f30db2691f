#pragma once

#include <span>

namespace qh::capacity {

/** A measured value at one size. */
struct SizedValue {
  double size = 0;
  double value = 0;
};

/** The line value = slope * size + intercept. */
struct LineFit {
  double slope = 0;
  double intercept = 0;
  /** Root mean square distance from the line, as a fraction of the largest absolute value. */
  double residual = 0;

  /** Returns whether all three numbers are finite. */
  bool IsFinite() const noexcept;
};

/**
 * Fits a line by least squares. With fewer than two different sizes, the slope is undefined and the
 * fit is not finite.
 */
LineFit FitLine(std::span<const SizedValue> points) noexcept;

}  // namespace qh::capacity
