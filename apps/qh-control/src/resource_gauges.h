#pragma once

#include "quetzalhinge/metrics/metrics_registry.h"

namespace qh::control {

/** Sets the gauges of this process's processor time and resident memory. */
void UpdateResourceGauges(metrics::MetricsRegistry& metrics);

}  // namespace qh::control
