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
 * Parses and validates the JSON form. All fields are required, and unknown fields are errors: a
 * process that ignored an unknown limit would violate the contract silently. The error
 * (kInvalidArgument) describes a malformed form, or lists all violations of the contract.
 */
Result<Contract> ContractFromJson(const nlohmann::json& json);

}  // namespace qh::contract
