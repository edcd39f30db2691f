#include "quetzalhinge/contract/contract_change.h"

#include "json_fields.h"
#include "quetzalhinge/contract/contract_json.h"

namespace qh::contract {
namespace {

using nlohmann::json;

ContractChange ParseChange(const json& value) {
  RequireFields(value, {"revision", "version", "customer", "operation_id", "author", "accepted_us",
                        "contract"});
  ContractChange change;
  change.revision = UnsignedField(value, "revision");
  change.version = UnsignedField(value, "version");
  change.customer = StringField(value, "customer");
  change.operation_id = StringField(value, "operation_id");
  change.author = StringField(value, "author");
  change.accepted_us = IntegerField(value, "accepted_us");
  if (value.at("contract").is_null()) {
    return change;
  }
  Result<Contract> contract = ContractFromJson(value.at("contract"));
  if (!IsOk(contract)) {
    throw JsonFormatError(ErrorOf(contract).detail);
  }
  change.contract = std::make_shared<const Contract>(TakeValue(std::move(contract)));
  if (change.contract->customer != change.customer) {
    throw JsonFormatError("the contract is of another customer than the change");
  }
  return change;
}

ContractSnapshot ParseSnapshot(const json& value) {
  RequireFields(value, {"revision", "contracts"});
  ContractSnapshot snapshot;
  snapshot.revision = UnsignedField(value, "revision");
  for (const json& change : ArrayField(value, "contracts")) {
    snapshot.contracts.push_back(ParseChange(change));
  }
  return snapshot;
}

}  // namespace

json ToJson(const ContractChange& change) {
  return {{"revision", change.revision},
          {"version", change.version},
          {"customer", change.customer},
          {"operation_id", change.operation_id},
          {"author", change.author},
          {"accepted_us", change.accepted_us},
          {"contract", change.IsRemoval() ? json(nullptr) : ToJson(*change.contract)}};
}

Result<ContractChange> ContractChangeFromJson(const json& value) {
  try {
    return ParseChange(value);
  } catch (const JsonFormatError& error) {
    return Error{ErrorCode::kInvalidArgument, "parse contract change", "", error.what()};
  }
}

json ToJson(const ContractSnapshot& snapshot) {
  json contracts = json::array();
  for (const ContractChange& change : snapshot.contracts) {
    contracts.push_back(ToJson(change));
  }
  return {{"revision", snapshot.revision}, {"contracts", std::move(contracts)}};
}

Result<ContractSnapshot> ContractSnapshotFromJson(const json& value) {
  try {
    return ParseSnapshot(value);
  } catch (const JsonFormatError& error) {
    return Error{ErrorCode::kInvalidArgument, "parse contract snapshot", "", error.what()};
  }
}

}  // namespace qh::contract
