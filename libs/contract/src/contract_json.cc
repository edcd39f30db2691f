#include "quetzalhinge/contract/contract_json.h"

#include <optional>

#include "json_fields.h"

namespace qh::contract {
namespace {

using nlohmann::json;

json LimitsToJson(const Limits& limits) {
  return {{"requests_per_second", limits.requests_per_second},
          {"burst", limits.burst},
          {"requests_in_progress", limits.requests_in_progress},
          {"retry_share", limits.retry_share},
          {"max_body_bytes", limits.max_body_bytes},
          {"max_response_bytes", limits.max_response_bytes}};
}

Limits LimitsFromJson(const json& value) {
  RequireFields(value, {"requests_per_second", "burst", "requests_in_progress", "retry_share",
                        "max_body_bytes", "max_response_bytes"});
  Limits limits;
  limits.requests_per_second = NumberField(value, "requests_per_second");
  limits.burst = IntegerField(value, "burst");
  limits.requests_in_progress = IntegerField(value, "requests_in_progress");
  limits.retry_share = NumberField(value, "retry_share");
  limits.max_body_bytes = IntegerField(value, "max_body_bytes");
  limits.max_response_bytes = IntegerField(value, "max_response_bytes");
  return limits;
}

json ServiceToJson(const ServiceTerms& service) {
  json patterns = json::array();
  for (const RoutePattern& pattern : service.idempotent) {
    patterns.push_back(pattern.method + " " + pattern.path_prefix);
  }
  return {{"name", service.name},
          {"deadline_ms", service.deadline.count()},
          {"idempotent", std::move(patterns)}};
}

ServiceTerms ServiceFromJson(const json& value) {
  RequireFields(value, {"name", "deadline_ms", "idempotent"});
  ServiceTerms service;
  service.name = StringField(value, "name");
  service.deadline = std::chrono::milliseconds(IntegerField(value, "deadline_ms"));
  for (const json& text : ArrayField(value, "idempotent")) {
    RoutePattern pattern;
    if (!text.is_string() || !ParseRoutePattern(text.get<std::string>(), &pattern)) {
      throw JsonFormatError("\"idempotent\" has to hold \"METHOD /path-prefix\" texts");
    }
    service.idempotent.push_back(std::move(pattern));
  }
  return service;
}

Contract ParseContractObject(const json& value) {
  RequireFields(value, {"customer", "limits", "priority", "services"});
  Contract contract;
  contract.customer = StringField(value, "customer");
  contract.limits = LimitsFromJson(value.at("limits"));
  const std::optional<PriorityClass> priority =
      kPriorityClassNames.Parse(StringField(value, "priority"));
  if (!priority.has_value()) {
    throw JsonFormatError("\"priority\" has to be low, normal or high");
  }
  contract.priority = *priority;
  for (const json& service : ArrayField(value, "services")) {
    contract.services.push_back(ServiceFromJson(service));
  }
  return contract;
}

Error InvalidContractError(const std::string& detail) {
  return {ErrorCode::kInvalidArgument, "parse contract", "", detail};
}

}  // namespace

json ToJson(const Contract& contract) {
  json services = json::array();
  for (const ServiceTerms& service : contract.services) {
    services.push_back(ServiceToJson(service));
  }
  return {{"customer", contract.customer},
          {"limits", LimitsToJson(contract.limits)},
          {"priority", kPriorityClassNames.NameOf(contract.priority)},
          {"services", std::move(services)}};
}

Result<Contract> ContractFromJson(const json& value) {
  Contract contract;
  try {
    contract = ParseContractObject(value);
  } catch (const JsonFormatError& error) {
    return InvalidContractError(error.what());
  }
  std::string detail;
  for (const ContractViolation& violation : contract.Violations()) {
    detail += (detail.empty() ? "" : "; ") + ToString(violation);
  }
  if (!detail.empty()) {
    return InvalidContractError(detail);
  }
  return contract;
}

}  // namespace qh::contract
