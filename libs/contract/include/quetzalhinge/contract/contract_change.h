#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/time.h"
#include "quetzalhinge/contract/contract.h"

namespace qh::contract {

/** Position in the order of all accepted changes; 0 is the state before the first one. */
using Revision = std::uint64_t;

/** One accepted change of one customer's contract, as in the platform's log. */
struct ContractChange {
  /** From 1, without gaps. */
  Revision revision = 0;
  /** Version of this customer's contract after the change. */
  std::uint64_t version = 0;
  std::string customer;
  /** Identifier that the operator's client chose; the same when it sends the change again. */
  std::string operation_id;
  /** Who made the change. */
  std::string author;
  /** Wall clock of the VM that had the change accepted; for people only. */
  UnixMicros accepted_us = 0;
  /** The new contract; null if the change removes the customer's contract. */
  std::shared_ptr<const Contract> contract;

  bool IsRemoval() const noexcept { return contract == nullptr; }
};

/** The last change of every customer that has a contract at `revision`. */
struct ContractSnapshot {
  Revision revision = 0;
  /** One per customer, none of them a removal. */
  std::vector<ContractChange> contracts;
};

/** Returns the JSON form of a change; "contract" is null for a removal. */
nlohmann::json ToJson(const ContractChange& change);

/** Parses the JSON form of a change; kInvalidArgument on another form or an invalid contract. */
Result<ContractChange> ContractChangeFromJson(const nlohmann::json& json);

/** Returns the JSON form of a snapshot: {"revision":..., "contracts":[...]}. */
nlohmann::json ToJson(const ContractSnapshot& snapshot);

/** Parses the JSON form of a snapshot; kInvalidArgument on another form. */
Result<ContractSnapshot> ContractSnapshotFromJson(const nlohmann::json& json);

}  // namespace qh::contract
