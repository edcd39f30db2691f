#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

#include "commands.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/contract/contract_ini.h"
#include "quetzalhinge/contract/contract_json.h"
#include "quetzalhinge/http/http_message.h"
#include "revision_wait.h"
#include "text_table.h"

namespace qh::ctl {
namespace {

using contract::Contract;
using nlohmann::json;

constexpr int kOk = 200;

std::string GetAuthor() {
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "uid " + std::to_string(getuid());
}

/** Reads a contract file; prints all problems and returns std::nullopt if there are any. */
std::optional<Contract> ReadContract(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::fprintf(stderr, "%s:0: cannot be read\n", path.c_str());
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = contract::ParseContractIni(path, text.str());
  if (auto* contract = std::get_if<Contract>(&parsed)) {
    return std::move(*contract);
  }
  for (const auto& problem : std::get<contract::ContractProblems>(parsed)) {
    std::fprintf(stderr, "%s\n", ToString(problem).c_str());
  }
  return std::nullopt;
}

/**
 * Returns the fields that all change requests have in common: operation id, author and, if it is
 * given, expected version. Prints an error and returns std::nullopt if the version is not a number.
 */
std::optional<json> MakeChangeBody(const CommandCall& call) {
  RandomGenerator generator = MakeSeededGenerator();
  json body{{"operation", MakeRandomId(generator)}, {"author", GetAuthor()}};
  if (call.line.Has("expect-version")) {
    const std::string text = call.line.ValueOr("expect-version", "");
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc() || end != text.data() + text.size()) {
      std::fprintf(stderr, "qhctl: --expect-version: a whole number is required\n");
      return std::nullopt;
    }
    body["expect_version"] = version;
  }
  return body;
}

int SendChange(const CommandCall& call, const std::string& method, const std::string& customer,
               const json& body) {
  const Result<OperatorResponse> result =
      call.client->Change(method, "/v1/contracts/" + http::PercentEncode(customer), body);
  if (!IsOk(result)) {
    std::fprintf(stderr, "operation %s\n", body.at("operation").get<std::string>().c_str());
    return ReportFailure(ErrorOf(result));
  }
  const OperatorResponse& response = ValueOf(result);
  if (response.status != kOk) {
    return ReportFailure(response);
  }
  const auto revision = response.body.at("revision").get<std::uint64_t>();
  std::optional<RevisionWait> wait;
  if (call.line.Has("wait")) {
    wait = WaitForRevision(*call.client, revision);
  }
  if (call.WantsJson()) {
    json output = response.body;
    if (wait.has_value()) {
      output["lagging"] = wait->lagging;
    }
    std::printf("%s\n", output.dump().c_str());
  } else {
    std::printf("accepted: customer %s, version %llu, revision %llu\n", customer.c_str(),
                response.body.at("version").get<unsigned long long>(),
                static_cast<unsigned long long>(revision));
    if (wait.has_value()) {
      std::printf("%s", ToText(*wait).c_str());
    }
  }
  return wait.has_value() && !wait->IsComplete() ? kExitFailure : kExitSuccess;
}

/** Returns the contract in the INI format of contract files. */
std::string ToIni(const Contract& contract) {
  std::ostringstream text;
  const contract::Limits& limits = contract.limits;
  text << "[contract]\ncustomer = " << contract.customer
       << "\n[limits]\nrequests_per_second = " << limits.requests_per_second
       << "\nburst = " << limits.burst << "\nrequests_in_progress = " << limits.requests_in_progress
       << "\nretry_share = " << limits.retry_share << "\nmax_body_bytes = " << limits.max_body_bytes
       << "\nmax_response_bytes = " << limits.max_response_bytes
       << "\n[priority]\nclass = " << contract::kPriorityClassNames.NameOf(contract.priority);
  for (const contract::ServiceTerms& service : contract.services) {
    text << "\n[service " << service.name << "]\ndeadline_ms = " << service.deadline.count();
    std::string patterns;
    for (const contract::RoutePattern& pattern : service.idempotent) {
      patterns += (patterns.empty() ? "" : ", ") + pattern.method + " " + pattern.path_prefix;
    }
    if (!patterns.empty()) {
      text << "\nidempotent = " << patterns;
    }
  }
  text << "\n";
  return text.str();
}

/** Sends a GET; prints the failure and sets `exit_code` if the response status is not 200. */
std::optional<json> GetOrReportFailure(const CommandCall& call, const std::string& path,
                                       int& exit_code) {
  const Result<OperatorResponse> result = call.client->Get(path);
  if (!IsOk(result)) {
    exit_code = ReportFailure(ErrorOf(result));
    return std::nullopt;
  }
  if (ValueOf(result).status != kOk) {
    exit_code = ReportFailure(ValueOf(result));
    return std::nullopt;
  }
  return ValueOf(result).body;
}

}  // namespace

int ApplyContract(const CommandCall& call) {
  const std::optional<Contract> contract = ReadContract(call.arguments[0]);
  if (!contract.has_value()) {
    return kExitWrongContract;
  }
  std::optional<json> body = MakeChangeBody(call);
  if (!body.has_value()) {
    return kExitWrongCommandLine;
  }
  (*body)["contract"] = contract::ToJson(*contract);
  return SendChange(call, "PUT", contract->customer, *body);
}

int RemoveContract(const CommandCall& call) {
  const std::optional<json> body = MakeChangeBody(call);
  return body.has_value() ? SendChange(call, "DELETE", call.arguments[0], *body)
                          : kExitWrongCommandLine;
}

int CheckContract(const CommandCall& call) {
  const std::optional<Contract> contract = ReadContract(call.arguments[0]);
  if (!contract.has_value()) {
    return kExitWrongContract;
  }
  std::printf("%s: the contract of %s is valid\n", call.arguments[0].c_str(),
              contract->customer.c_str());
  return kExitSuccess;
}

int ShowContract(const CommandCall& call) {
  int exit_code = kExitSuccess;
  const std::optional<json> change = GetOrReportFailure(
      call, "/v1/contracts/" + http::PercentEncode(call.arguments[0]), exit_code);
  if (!change.has_value()) {
    return exit_code;
  }
  if (call.WantsJson()) {
    std::printf("%s\n", change->dump().c_str());
    return kExitSuccess;
  }
  const Result<Contract> contract = contract::ContractFromJson(change->at("contract"));
  if (!IsOk(contract)) {
    return ReportFailure(ErrorOf(contract));
  }
  std::printf("; version %llu, revision %llu, by %s at %s\n%s",
              change->at("version").get<unsigned long long>(),
              change->at("revision").get<unsigned long long>(),
              change->at("author").get<std::string>().c_str(),
              FormatUtcTime(change->at("accepted_us").get<std::int64_t>()).c_str(),
              ToIni(ValueOf(contract)).c_str());
  return kExitSuccess;
}

int ListContracts(const CommandCall& call) {
  int exit_code = kExitSuccess;
  const std::optional<json> list = GetOrReportFailure(call, "/v1/contracts", exit_code);
  if (!list.has_value()) {
    return exit_code;
  }
  if (call.WantsJson()) {
    std::printf("%s\n", list->dump().c_str());
    return kExitSuccess;
  }
  TextTable table({"CUSTOMER", "VERSION", "REVISION", "AUTHOR", "ACCEPTED"});
  for (const json& item : list->at("contracts")) {
    table.Add({item.at("customer"), item.at("version").dump(), item.at("revision").dump(),
               item.at("author"), FormatUtcTime(item.at("accepted_us").get<std::int64_t>())});
  }
  std::printf("%s", table.ToText().c_str());
  return kExitSuccess;
}

int ShowHistory(const CommandCall& call) {
  int exit_code = kExitSuccess;
  const std::optional<json> history = GetOrReportFailure(
      call, "/v1/contracts/" + http::PercentEncode(call.arguments[0]) + "/history", exit_code);
  if (!history.has_value()) {
    return exit_code;
  }
  if (call.WantsJson()) {
    std::printf("%s\n", history->dump().c_str());
    return kExitSuccess;
  }
  TextTable table({"VERSION", "REVISION", "AUTHOR", "ACCEPTED", "CHANGE", "OPERATION"});
  for (const json& item : history->at("changes")) {
    table.Add({item.at("version").dump(), item.at("revision").dump(), item.at("author"),
               FormatUtcTime(item.at("accepted_us").get<std::int64_t>()),
               item.at("contract").is_null() ? "removed" : "set", item.at("operation_id")});
  }
  std::printf("%s", table.ToText().c_str());
  return kExitSuccess;
}

}  // namespace qh::ctl
