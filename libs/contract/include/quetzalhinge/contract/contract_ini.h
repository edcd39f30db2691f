#pragma once

#include <string>
#include <variant>
#include <vector>

#include "quetzalhinge/contract/contract.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::contract {

/** All problems of a contract file, in line order. */
using ContractProblems = std::vector<settings::SettingsProblem>;

/**
 * Parses a contract from INI text. Returns either a contract without violations or every problem
 * with its line (0 for what is missing). `file` only names the text in problems.
 */
std::variant<Contract, ContractProblems> ParseContractIni(const std::string& file,
                                                          const std::string& text);

}  // namespace qh::contract
