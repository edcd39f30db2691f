#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <optional>

#include "commands.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/timeline/event_json.h"
#include "quetzalhinge/timeline/event_ring.h"
#include "text_table.h"

namespace qh::ctl {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr double kMicrosPerSecond = 1e6;

/** Names and operator addresses of the VMs in a status. */
struct VmAddresses {
  std::vector<std::string> names;
  std::vector<IpEndpoint> operators;
};

std::optional<json> GetStatus(const CommandCall& call, int& exit_code) {
  const Result<OperatorResponse> result = call.client->Get("/v1/status");
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

VmAddresses AddressesOf(const json& status) {
  VmAddresses addresses;
  for (const json& member : status.at("members")) {
    const auto endpoint = ParseIpEndpoint(member.at("operators").get<std::string>());
    if (endpoint.has_value() && member.at("state") != "gone") {
      addresses.names.push_back(member.at("name"));
      addresses.operators.push_back(*endpoint);
    }
  }
  return addresses;
}

/**
 * Reads the status of each VM and sets its number of requests in progress and the revision in force
 * at its qh-entry. Only the VM itself reports them.
 */
void FillInReportedValues(const CommandCall& call, json& status) {
  const VmAddresses vms = AddressesOf(status);
  const auto responses = call.client->GetFromAll(vms.operators, "/v1/status");
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (!IsOk(responses[i]) || !ValueOf(responses[i]).body.is_object()) {
      continue;
    }
    for (json& member : status.at("members")) {
      if (member.at("name") == vms.names[i]) {
        const json& reported = ValueOf(responses[i]).body;
        member["in_progress"] = reported.at("members").at(0).at("in_progress");
        member["entry_revision"] = reported.at("entry_revision");
      }
    }
  }
}

std::string TextOr(const json& object, const char* key, const char* fallback) {
  const json value = object.value(key, json());
  if (value.is_null()) {
    return fallback;
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Parses "2026-12-04T09:00:00" (UTC) or seconds since the Unix epoch; returns microseconds. */
std::optional<std::int64_t> ParseTime(const std::string& text) {
  std::tm parts{};
  const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest != nullptr && (*rest == '\0' || std::string(rest) == "Z")) {
    return static_cast<std::int64_t>(timegm(&parts) * kMicrosPerSecond);
  }
  char* end = nullptr;
  const double seconds = std::strtod(text.c_str(), &end);
  if (end == text.c_str() || *end != '\0') {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(seconds * kMicrosPerSecond);
}

/**
 * Returns the path of the timeline with its filters. Prints an error and returns std::nullopt if a
 * time is invalid.
 */
std::optional<std::string> TimelinePath(const settings::CommandLine& line) {
  std::string path = "/v1/timeline?";
  for (const char* name : {"request", "customer", "worker", "vm"}) {
    if (line.Has(name)) {
      path += std::string(name) + "=" + http::PercentEncode(line.ValueOr(name, "")) + "&";
    }
  }
  for (const char* name : {"from", "until"}) {
    if (!line.Has(name)) {
      continue;
    }
    const std::optional<std::int64_t> micros = ParseTime(line.ValueOr(name, ""));
    if (!micros.has_value()) {
      std::fprintf(stderr, "qhctl: --%s: 2026-12-04T09:00:00 (UTC) or Unix seconds are required\n",
                   name);
      return std::nullopt;
    }
    path += std::string(name) + "_us=" + std::to_string(*micros) + "&";
  }
  return path;
}

std::vector<timeline::Event> EventsOf(const json& body) {
  std::vector<timeline::Event> events;
  for (const json& item : body.value("events", json::array())) {
    if (auto event = timeline::EventFromJson(item)) {
      events.push_back(std::move(*event));
    }
  }
  return events;
}

void PrintEvents(const std::vector<timeline::Event>& events, bool as_json) {
  if (as_json) {
    json list = json::array();
    for (const timeline::Event& event : events) {
      list.push_back(timeline::ToJson(event));
    }
    std::printf("%s\n", json{{"events", list}}.dump().c_str());
    return;
  }
  TextTable table({"TIME", "VM", "PROCESS", "EVENT", "REQUEST", "CUSTOMER", "WORKER", "DETAIL"});
  for (const timeline::Event& event : events) {
    table.Add({FormatUtcTime(event.stamp.wall_us), event.vm, event.process, event.kind,
               event.request_id, event.customer, event.worker, event.detail});
  }
  std::printf("%s", table.ToText().c_str());
}

}  // namespace

int ShowStatus(const CommandCall& call) {
  int exit_code = kExitSuccess;
  std::optional<json> status = GetStatus(call, exit_code);
  if (!status.has_value()) {
    return exit_code;
  }
  FillInReportedValues(call, *status);
  if (call.WantsJson()) {
    std::printf("%s\n", status->dump().c_str());
    return kExitSuccess;
  }
  std::printf("as seen by %s, revision %s, confirmed: %s\n", TextOr(*status, "vm", "?").c_str(),
              TextOr(*status, "revision", "?").c_str(),
              status->value("confirmed", false) ? "yes" : "no");
  TextTable table(
      {"VM", "ZONE", "SLOT", "STATE", "HEARD", "REVISION", "IN PROGRESS", "CALLERS", "OPERATORS"});
  for (const json& member : status->at("members")) {
    table.Add({TextOr(member, "name", "?"), TextOr(member, "zone", "?"),
               TextOr(member, "slot", "?"), TextOr(member, "state", "?"),
               member.value("heard", false) ? "yes" : "no", TextOr(member, "entry_revision", "-"),
               TextOr(member, "in_progress", "-"), TextOr(member, "callers", "-"),
               TextOr(member, "operators", "-")});
  }
  std::printf("%s", table.ToText().c_str());
  return kExitSuccess;
}

int ShowWorkers(const CommandCall& call) {
  const Result<OperatorResponse> result = call.client->Get("/v1/workers");
  if (!IsOk(result)) {
    return ReportFailure(ErrorOf(result));
  }
  if (ValueOf(result).status != kOk) {
    return ReportFailure(ValueOf(result));
  }
  if (call.WantsJson()) {
    std::printf("%s\n", ValueOf(result).body.dump().c_str());
    return kExitSuccess;
  }
  TextTable table({"WORKER", "SERVICE", "ZONE", "ADDRESS", "STATE"});
  for (const json& worker : ValueOf(result).body.at("workers")) {
    table.Add({TextOr(worker, "name", "?"), TextOr(worker, "service", "?"),
               TextOr(worker, "zone", "?"),
               TextOr(worker, "ip", "?") + ":" + TextOr(worker, "port", "?"),
               TextOr(worker, "state", "?")});
  }
  std::printf("%s", table.ToText().c_str());
  return kExitSuccess;
}

int DrainVm(const CommandCall& call) {
  int exit_code = kExitSuccess;
  const std::optional<json> status = GetStatus(call, exit_code);
  if (!status.has_value()) {
    return exit_code;
  }
  const std::string& name = call.arguments[0];
  const VmAddresses vms = AddressesOf(*status);
  for (std::size_t i = 0; i < vms.names.size(); ++i) {
    if (vms.names[i] != name) {
      continue;
    }
    const Result<OperatorResponse> result =
        call.client->CallAt(vms.operators[i], "POST", "/v1/drain", {{"vm", name}});
    if (!IsOk(result)) {
      return ReportFailure(ErrorOf(result));
    }
    if (ValueOf(result).status != kAccepted) {
      return ReportFailure(ValueOf(result));
    }
    std::printf("%s\n", call.WantsJson() ? ValueOf(result).body.dump().c_str()
                                         : (name + " is draining").c_str());
    return kExitSuccess;
  }
  return ReportFailure(
      Error{ErrorCode::kNotFound, "drain", name, "there is no such VM in the status"});
}

int ShowTimeline(const CommandCall& call) {
  const std::optional<std::string> path = TimelinePath(call.line);
  if (!path.has_value()) {
    return kExitWrongCommandLine;
  }
  int exit_code = kExitSuccess;
  const std::optional<json> status = GetStatus(call, exit_code);
  if (!status.has_value()) {
    return exit_code;
  }
  const VmAddresses vms = AddressesOf(*status);
  const auto responses = call.client->GetFromAll(vms.operators, *path);
  std::vector<std::vector<timeline::Event>> parts;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (IsOk(responses[i]) && ValueOf(responses[i]).status == kOk) {
      parts.push_back(EventsOf(ValueOf(responses[i]).body));
    } else {
      std::fprintf(stderr, "qhctl: %s did not respond with its events; they are missing\n",
                   vms.names[i].c_str());
      exit_code = kExitFailure;
    }
  }
  PrintEvents(timeline::MergeEvents(std::move(parts)), call.WantsJson());
  return exit_code;
}

}  // namespace qh::ctl
