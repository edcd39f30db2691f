#pragma once

#include <nlohmann/json_fwd.hpp>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/contract/contract.h"

namespace qh::contract {

/**
 * Returns the JSON form of a contract:
 * {"customer":..., "limits":{...}, "priority":"high",
 *  "services":[{"name":..., "deadline_ms":..., "idempotent":["GET /"]}]}
 */
nlohmann::json ToJson(const Contract& contract);

/**
 * Parses the JSON form. Every field is required, and an unknown field is refused: a process that
 * ignored a limit it does not know would break the contract silently. The contract returned has no
 * violations; the error (kInvalidArgument) names all of them.
 */
Result<Contract> ContractFromJson(const nlohmann::json& json);

}  // namespace qh::contract
