#pragma once

#include <cstdint>
#include <string>

#include "quetzalhinge/contract/contract_change.h"

namespace qh::control {

/** Key of the row with the newest revision: {"revision":R}. */
inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kLogPrefix = "log/";
inline constexpr const char* kContractPrefix = "contracts/";

/** Returns the key of the log row with the change at `revision`. */
std::string LogKey(contract::Revision revision);

/** Returns the key of the contract row, which has the customer's latest change. */
std::string ContractKey(const std::string& customer);

/**
 * Returns the key of the row with the change made by an operation. Each acceptance is conditional
 * on the absence of this row, so that a resent operation is never accepted twice, however old it
 * is.
 */
std::string OperationKey(const std::string& operation_id);

/** Returns the key prefix of a customer's history rows, whose keys sort by version. */
std::string HistoryPrefix(const std::string& customer);

/** Returns the key of the history row with the customer's change to `version`. */
std::string HistoryKey(const std::string& customer, std::uint64_t version);

}  // namespace qh::control
