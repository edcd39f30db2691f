#include "quetzalhinge/contract/contract_ini.h"

#include <algorithm>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::contract {
namespace {

using settings::IniDocument;
using settings::SettingsProblem;
using settings::SettingsReader;

constexpr const char* kLimits = "limits";

Limits ReadLimits(SettingsReader& reader) {
  using Range = ContractRange;
  const Limits defaults;
  Limits limits;
  limits.requests_per_second = reader.Number(
      kLimits, "requests_per_second", Range::kMinRequestsPerSecond, Range::kMaxRequestsPerSecond);
  limits.burst = reader.Integer(kLimits, "burst", 1, Range::kMaxCount);
  limits.requests_in_progress =
      reader.Integer(kLimits, "requests_in_progress", 1, Range::kMaxCount);
  limits.retry_share = reader.Number(kLimits, "retry_share", 0, 1, defaults.retry_share);
  limits.max_body_bytes =
      reader.Integer(kLimits, "max_body_bytes", 1, Range::kMaxBytes, defaults.max_body_bytes);
  limits.max_response_bytes = reader.Integer(kLimits, "max_response_bytes", 1, Range::kMaxBytes,
                                             defaults.max_response_bytes);
  return limits;
}

ServiceTerms ReadService(SettingsReader& reader, const std::string& name) {
  const std::string section = "service " + name;
  ServiceTerms service;
  service.name = name;
  service.deadline = std::chrono::milliseconds(reader.Integer(section, "deadline_ms",
                                                              ContractRange::kMinDeadline.count(),
                                                              ContractRange::kMaxDeadline.count()));
  for (const std::string& item : reader.List(section, "idempotent")) {
    RoutePattern pattern;
    if (ParseRoutePattern(item, &pattern)) {
      service.idempotent.push_back(std::move(pattern));
    } else {
      reader.AddProblem(section, "idempotent",
                        "METHOD /path-prefix pairs separated by commas, unlike \"" + item + "\"");
    }
  }
  return service;
}

Contract ReadContract(SettingsReader& reader) {
  Contract contract;
  contract.customer = reader.Text("contract", "customer");
  contract.limits = ReadLimits(reader);
  contract.priority = reader.Choice<PriorityClass>("priority", "class", kPriorityClassNames,
                                                   PriorityClass::kNormal);
  std::vector<std::string> names = reader.SectionsWithPrefix("service ");
  for (auto name = names.begin(); name != names.end(); ++name) {
    // SettingsReader reports repeated sections.
    if (std::find(names.begin(), name, *name) == name) {
      contract.services.push_back(ReadService(reader, *name));
    }
  }
  return contract;
}

SettingsProblem ToProblem(const ContractViolation& violation, const IniDocument& document) {
  SettingsProblem problem{document.file, 0, violation.section, violation.key, "", violation.rule};
  for (const settings::IniSection& section : document.sections) {
    if (section.name == violation.section && violation.key.empty()) {
      problem.line = section.line;
      problem.found = section.name;
    }
  }
  for (const settings::IniEntry& entry : document.entries) {
    if (entry.section == violation.section && entry.key == violation.key) {
      problem.line = entry.line;
      problem.found = entry.value;
    }
  }
  return problem;
}

void AddViolations(const Contract& contract, const IniDocument& document,
                   ContractProblems& problems) {
  for (const ContractViolation& violation : contract.Violations()) {
    const bool is_reported =
        std::any_of(problems.begin(), problems.end(), [&](const SettingsProblem& problem) {
          return problem.section == violation.section && problem.key == violation.key;
        });
    if (!is_reported) {
      problems.push_back(ToProblem(violation, document));
    }
  }
  std::stable_sort(
      problems.begin(), problems.end(),
      [](const SettingsProblem& a, const SettingsProblem& b) { return a.line < b.line; });
}

}  // namespace

std::variant<Contract, ContractProblems> ParseContractIni(const std::string& file,
                                                          const std::string& text) {
  const IniDocument document = settings::ParseIni(file, text);
  SettingsReader reader(document);
  Contract contract = ReadContract(reader);
  ContractProblems problems = reader.Finish();
  AddViolations(contract, document, problems);
  if (problems.empty()) {
    return contract;
  }
  return problems;
}

}  // namespace qh::contract
