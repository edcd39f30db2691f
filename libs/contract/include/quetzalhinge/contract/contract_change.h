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

/** Position in the sequence of all accepted changes; 0 is the state before the first one. */
using Revision = std::uint64_t;

/** One accepted change of one customer's contract, as stored in the platform's log. */
struct ContractChange {
  /** Consecutive, starting at 1. */
  Revision revision = 0;
  /** Version of this customer's contract after the change. */
  std::uint64_t version = 0;
  std::string customer;
  /** Identifier assigned by the operator's client; identical when it resends the change. */
  std::string operation_id;
  /** Operator who made the change. */
  std::string author;
  /** Wall-clock time of the VM at which the change was accepted; informational only. */
  UnixMicros accepted_us = 0;
  /** The new contract; nullptr if the change removes the customer's contract. */
  std::shared_ptr<const Contract> contract;

  bool IsRemoval() const noexcept { return contract == nullptr; }
};

/** The latest change of each customer that has a contract at `revision`. */
struct ContractSnapshot {
  Revision revision = 0;
  /** One change per customer, no removals. */
  std::vector<ContractChange> contracts;
};

/** Returns the JSON form of a change; "contract" is null for a removal. */
nlohmann::json ToJson(const ContractChange& change);

/** Parses the JSON form of a change; kInvalidArgument if it or its contract is invalid. */
Result<ContractChange> ContractChangeFromJson(const nlohmann::json& json);

/** Returns the JSON form of a snapshot: {"revision":..., "contracts":[...]}. */
nlohmann::json ToJson(const ContractSnapshot& snapshot);

/** Parses the JSON form of a snapshot; kInvalidArgument if it or a contract in it is invalid. */
Result<ContractSnapshot> ContractSnapshotFromJson(const nlohmann::json& json);

}  // namespace qh::contract
