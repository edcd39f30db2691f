#include "quetzalhinge/messages/contract_messages.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "quetzalhinge/messages/member_messages.h"

namespace qh::messages {
namespace {

using contract::ContractChange;
using contract::ContractSnapshot;

Result<ContractChange> ReadChange(rpc::wire::ContractChange::Reader message) {
  // On a syntax error, the parser returns a discarded value, which ContractChangeFromJson()
  // rejects.
  const auto json = nlohmann::json::parse(ReadText(message.getJson()), nullptr, false);
  return contract::ContractChangeFromJson(json);
}

}  // namespace

void WriteContractUpdate(const ContractUpdate& update,
                         rpc::wire::ContractChanges::Builder message) {
  const auto* snapshot = std::get_if<ContractSnapshot>(&update.changes);
  const std::vector<ContractChange>& changes =
      snapshot != nullptr ? snapshot->contracts
                          : std::get<std::vector<ContractChange>>(update.changes);
  message.setIsSnapshot(snapshot != nullptr);
  message.setRevision(snapshot != nullptr ? snapshot->revision : update.newest);
  auto list = message.initChanges(static_cast<unsigned>(changes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRevision(changes[i].revision);
    list[i].setJson(contract::ToJson(changes[i]).dump());
  }
}

Result<ContractUpdate> ReadContractUpdate(rpc::wire::ContractChanges::Reader message) {
  std::vector<ContractChange> changes;
  for (const auto& item : message.getChanges()) {
    Result<ContractChange> change = ReadChange(item);
    if (!IsOk(change)) {
      return ErrorOf(change);
    }
    changes.push_back(TakeValue(std::move(change)));
  }
  ContractUpdate update;
  update.newest = message.getRevision();
  if (message.getIsSnapshot()) {
    update.changes = ContractSnapshot{update.newest, std::move(changes)};
  } else {
    update.changes = std::move(changes);
  }
  return update;
}

}  // namespace qh::messages
