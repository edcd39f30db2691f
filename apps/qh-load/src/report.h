#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "load_run.h"

namespace qh::load {

/** Returns the results of a run as JSON. Latencies are in microseconds (suffix _us). */
nlohmann::json MakeJsonReport(const Scenario& scenario, const CallLedger& ledger,
                              const LoadResult& result);

/** Formats the JSON report as text tables; latencies are in milliseconds. */
std::string MakeTextReport(const nlohmann::json& report);

}  // namespace qh::load
