#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "load_run.h"

namespace qh::load {

/** Returns everything that was measured as JSON. */
nlohmann::json MakeJsonReport(const Scenario& scenario, const CallLedger& ledger,
                              const LoadResult& result);

/** Returns the JSON report as text tables for people. */
std::string MakeTextReport(const nlohmann::json& report);

}  // namespace qh::load
