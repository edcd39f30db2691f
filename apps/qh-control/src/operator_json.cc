#include "operator_json.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "quetzalhinge/contract/contract_json.h"
#include "quetzalhinge/timeline/event_json.h"

namespace qh::control {
namespace {

using contract::ContractChange;
using http::HttpResponse;
using nlohmann::json;

constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxAuthorLength = 128;

bool IsOperationId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
}

HttpResponse MalformedRequest(const std::string& message) {
  return ErrorResponse(400, "malformed_request", message);
}

HttpResponse InvalidContract(const std::string& problem) {
  return JsonResponse(
      422,
      {{"code", "invalid_contract"}, {"message", problem}, {"problems", json::array({problem})}});
}

/** Parses the common fields of PUT and DELETE; throws nlohmann::json::exception if malformed. */
ContractCommand CommandFromJson(const std::string& customer, const json& body) {
  ContractCommand command;
  command.customer = customer;
  command.operation_id = body.at("operation").get<std::string>();
  command.author = body.at("author").get<std::string>();
  if (body.contains("expect_version")) {
    command.expect_version = body.at("expect_version").get<std::uint64_t>();
  }
  return command;
}

json MemberJson(const membership::MemberRecord& record, bool is_active) {
  json member{{"name", record.vm},
              {"zone", record.zone},
              {"slot", record.slot},
              {"state", membership::kMemberStateNames.NameOf(record.state)},
              {"heard", is_active},
              {"revision", record.revision},
              {"in_progress", nullptr},
              {"callers", ToString(record.endpoints.calls)},
              {"operators", ToString(record.endpoints.operators)}};
  return member;
}

std::int64_t NumberParameter(const std::string& path, const char* name) {
  const std::string text = http::QueryParameter(path, name).value_or("");
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump() + "\n", false};
}

HttpResponse ErrorResponse(int status, const std::string& code, const std::string& message) {
  return JsonResponse(status, {{"code", code}, {"message", message}});
}

std::variant<ContractCommand, HttpResponse> ParseCommand(const std::string& method,
                                                         const std::string& customer,
                                                         std::string_view body) {
  try {
    const json request = json::parse(body);
    ContractCommand command = CommandFromJson(customer, request);
    if (!IsOperationId(command.operation_id)) {
      return MalformedRequest("operation must be 1 to 64 letters, digits, '-' or '_'");
    }
    if (command.author.empty() || command.author.size() > kMaxAuthorLength) {
      return MalformedRequest("author must be 1 to 128 bytes");
    }
    if (method == "DELETE") {
      return command;
    }
    Result<contract::Contract> contract = contract::ContractFromJson(request.at("contract"));
    if (!IsOk(contract)) {
      return InvalidContract(ErrorOf(contract).detail);
    }
    if (ValueOf(contract).customer != customer) {
      return InvalidContract("the contract is of customer " + ValueOf(contract).customer);
    }
    command.contract = std::make_shared<const contract::Contract>(TakeValue(std::move(contract)));
    return command;
  } catch (const json::exception& exception) {
    return MalformedRequest(exception.what());
  }
}

namespace {

/** Converts each alternative of CommandResult to its HTTP response. */
struct ResponseVisitor {
  HttpResponse operator()(const CommandAccepted& accepted) const {
    return JsonResponse(200, {{"accepted", true},
                              {"revision", accepted.change.revision},
                              {"version", accepted.change.version}});
  }
  HttpResponse operator()(const CommandConflict& conflict) const {
    return JsonResponse(409, {{"code", "version_conflict"},
                              {"message", "another change of this contract came first"},
                              {"version", conflict.version},
                              {"author", conflict.author}});
  }
  HttpResponse operator()(CommandRefusal refusal) const {
    return refusal == CommandRefusal::kNoContract
               ? ErrorResponse(404, "unknown_customer", "the customer has no contract")
               : ErrorResponse(422, "operation_reused",
                               "the operation identifier belongs to another change");
  }
  HttpResponse operator()(const CommandFailure& failure) const {
    const bool unknown = failure.certainty == platform::WriteCertainty::kUnknown;
    return ErrorResponse(503, unknown ? "acceptance_unknown" : "platform_unavailable",
                         ToString(failure.error));
  }
};

}  // namespace

HttpResponse ToResponse(const CommandResult& result) {
  return std::visit(ResponseVisitor{}, result);
}

json ContractListJson(const contract::ContractBook& book) {
  json contracts = json::array();
  for (const std::string& customer : book.Customers()) {
    const ContractChange* change = book.FindChange(customer);
    contracts.push_back({{"customer", customer},
                         {"version", change->version},
                         {"revision", change->revision},
                         {"author", change->author},
                         {"accepted_us", change->accepted_us}});
  }
  return {{"revision", book.CurrentRevision()}, {"contracts", std::move(contracts)}};
}

json StatusJson(const ControlContext& context, const contract::ContractBook& book,
                const EntryLink& entry, const membership::MemberTable& members) {
  const TimePoint now = context.loop.Now();
  json member_list = json::array();
  json self = MemberJson(members.Self(), true);
  self["in_progress"] = entry.Report().in_progress;
  member_list.push_back(std::move(self));
  for (const membership::Member* member : members.AllMembers()) {
    member_list.push_back(MemberJson(member->record, members.IsActive(member->record.vm, now)));
  }
  return {{"vm", context.settings.name},
          {"revision", book.CurrentRevision()},
          {"entry_revision", entry.EntryRevision()},
          {"entry_attached", entry.IsAttached()},
          {"confirmed", book.IsConfirmed(now)},
          {"members", std::move(member_list)}};
}

json WorkersJson(const std::vector<platform::VmRecord>& workers,
                 const std::vector<membership::Notice>& notices) {
  json worker_list = json::array();
  for (const platform::VmRecord& worker : workers) {
    const bool has_leaving_notice =
        std::any_of(notices.begin(), notices.end(), [&](const membership::Notice& notice) {
          return notice.kind == membership::NoticeKind::kWorkerLeaving &&
                 notice.subject == worker.name;
        });
    worker_list.push_back(
        {{"name", worker.name},
         {"service", worker.service},
         {"zone", worker.zone},
         {"ip", worker.calls.ip},
         {"port", worker.calls.port},
         {"state", has_leaving_notice ? "leaving" : platform::kVmStateNames.NameOf(worker.state)}});
  }
  return {{"workers", std::move(worker_list)}};
}

timeline::EventFilter ParseEventFilter(const std::string& path) {
  timeline::EventFilter filter;
  filter.request_id = http::QueryParameter(path, "request").value_or("");
  filter.customer = http::QueryParameter(path, "customer").value_or("");
  filter.worker = http::QueryParameter(path, "worker").value_or("");
  filter.vm = http::QueryParameter(path, "vm").value_or("");
  filter.from_us = NumberParameter(path, "from_us");
  filter.until_us = NumberParameter(path, "until_us");
  return filter;
}

std::string ToJsonText(const timeline::EventFilter& filter) {
  return json{{"request", filter.request_id}, {"customer", filter.customer},
              {"worker", filter.worker},      {"vm", filter.vm},
              {"from_us", filter.from_us},    {"until_us", filter.until_us}}
      .dump();
}

json TimelineJson(std::vector<timeline::Event> control_events, const std::string& entry_events) {
  std::vector<timeline::Event> parsed_entry_events;
  const json parsed = json::parse(entry_events, nullptr, false);
  if (parsed.is_array()) {
    for (const json& item : parsed) {
      if (std::optional<timeline::Event> event = timeline::EventFromJson(item)) {
        parsed_entry_events.push_back(std::move(*event));
      }
    }
  }
  json events = json::array();
  for (const timeline::Event& event :
       timeline::MergeEvents({std::move(control_events), std::move(parsed_entry_events)})) {
    events.push_back(timeline::ToJson(event));
  }
  return {{"events", std::move(events)}};
}

}  // namespace qh::control
