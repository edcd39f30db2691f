#pragma once

#include "processes.capnp.h"
#include "quetzalhinge/base/error.h"
#include "quetzalhinge/contract/contract_book.h"

namespace qh::messages {

/** What a sender knows beyond a revision of the receiver. */
struct ContractUpdate {
  contract::ChangesAnswer changes;
  /** Newest revision known to the sender. */
  contract::Revision newest = 0;
};

/** Fills the message. */
void WriteContractUpdate(const ContractUpdate& update, rpc::wire::ContractChanges::Builder message);

/** Parses the message; kInvalidArgument if a contract in it has another form or is not valid. */
Result<ContractUpdate> ReadContractUpdate(rpc::wire::ContractChanges::Reader message);

}  // namespace qh::messages
