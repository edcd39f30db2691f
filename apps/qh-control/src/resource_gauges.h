#pragma once

#include "quetzalhinge/metrics/metrics_registry.h"

namespace qh::control {

/** Sets the gauges of the CPU time and the resident memory of this process. */
void UpdateResourceGauges(metrics::MetricsRegistry& metrics);

}  // namespace qh::control
