#pragma once

#include "processes.capnp.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/contract/contract_book.h"

namespace qh::messages {

/** The contract changes that a sender knows after the receiver's revision. */
struct ContractUpdate {
  contract::ChangesAnswer changes;
  /** Newest revision known to the sender. */
  contract::Revision newest = 0;
};

/** Writes the update into a Cap'n Proto message. */
void WriteContractUpdate(const ContractUpdate& update, rpc::wire::ContractChanges::Builder message);

/** Reads the message. Error: kInvalidArgument if a contract in it is malformed or invalid. */
Result<ContractUpdate> ReadContractUpdate(rpc::wire::ContractChanges::Reader message);

}  // namespace qh::messages
