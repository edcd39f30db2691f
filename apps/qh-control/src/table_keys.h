#pragma once

#include <cstdint>
#include <string>

#include "quetzalhinge/contract/contract_change.h"

namespace qh::control {

/** Row with the newest revision: {"revision":R}. */
inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kLogPrefix = "log/";
inline constexpr const char* kContractPrefix = "contracts/";

/** Row of the change at `revision`. */
std::string LogKey(contract::Revision revision);

/** Row of the customer's last change. */
std::string ContractKey(const std::string& customer);

/**
 * Row of the change that an operation made. Its absence is a condition of each acceptance, so that
 * an operation which is sent again is never accepted twice, however old it is.
 */
std::string OperationKey(const std::string& operation_id);

/** Prefix of the rows of a customer's changes, in order; read for the history. */
std::string HistoryPrefix(const std::string& customer);
std::string HistoryKey(const std::string& customer, std::uint64_t version);

}  // namespace qh::control
