#pragma once

#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/platform/table.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::platform {

// The functions below return std::nullopt, or false, for text not in the form of
// docs/interfaces.md.

std::optional<TableRow> ParseRow(const std::string& text);
std::optional<std::vector<TableRow>> ParseRows(const std::string& text);
std::optional<TransactionConflict> ParseConflict(const std::string& text);
bool IsApplied(const std::string& text);
std::optional<VmList> ParseVmList(const std::string& text);

/** Returns the JSON body of a transaction request. */
std::string SerializeTransaction(const TableTransaction& transaction);

}  // namespace qh::platform
