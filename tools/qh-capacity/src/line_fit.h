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
  /** Root of the mean squared distance from the line, as a part of the largest value. */
  double residual = 0;

  /** Returns whether all three numbers are finite. */
  bool IsFinite() const noexcept;
};

/**
 * Fits a line by least squares. Fewer than two different sizes have no slope: the fit is then not
 * finite.
 */
LineFit FitLine(std::span<const SizedValue> points) noexcept;

}  // namespace qh::capacity
