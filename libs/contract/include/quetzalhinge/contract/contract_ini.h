#pragma once

#include <string>
#include <variant>
#include <vector>

#include "quetzalhinge/contract/contract.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::contract {

/** All problems found in a contract file, in line order. */
using ContractProblems = std::vector<settings::SettingsProblem>;

/**
 * Parses a contract from INI text. Returns either a valid contract or all problems, each with its
 * line number (0 for missing settings). `file` is only used as the name of the text in problems.
 */
std::variant<Contract, ContractProblems> ParseContractIni(const std::string& file,
                                                          const std::string& text);

}  // namespace qh::contract
