#include "line_fit.h"

#include <algorithm>
#include <cmath>

namespace qh::capacity {

bool LineFit::IsFinite() const noexcept {
  return std::isfinite(slope) && std::isfinite(intercept) && std::isfinite(residual);
}

LineFit FitLine(std::span<const SizedValue> points) noexcept {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const SizedValue& point : points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double covariance = 0;
  double variance = 0;
  double max_value = 0;
  for (const SizedValue& point : points) {
    covariance += (point.size - mean_size) * (point.value - mean_value);
    variance += (point.size - mean_size) * (point.size - mean_size);
    max_value = std::max(max_value, std::abs(point.value));
  }
  LineFit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_value - fit.slope * mean_size;
  double mean_square = 0;
  for (const SizedValue& point : points) {
    const double distance = point.value - (fit.slope * point.size + fit.intercept);
    mean_square += distance * distance / count;
  }
  fit.residual = max_value > 0 ? std::sqrt(mean_square) / max_value : std::sqrt(mean_square);
  return fit;
}

}  // namespace qh::capacity
