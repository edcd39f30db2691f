#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/platform/table.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::platform {

// The functions below return std::nullopt, or false, for text not in the form of
// docs/interfaces.md.

std::optional<TableRow> ParseRow(std::string_view text);
std::optional<std::vector<TableRow>> ParseRows(std::string_view text);
std::optional<TransactionConflict> ParseConflict(std::string_view text);
bool IsApplied(std::string_view text);
std::optional<VmList> ParseVmList(std::string_view text);

/** Returns the JSON body of a transaction request. */
std::string SerializeTransaction(const TableTransaction& transaction);

}  // namespace qh::platform
