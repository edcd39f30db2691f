#pragma once

#include <vector>

#include "address_book.h"
#include "processes.capnp.h"
#include "quetzalhinge/idempotency/key_table.h"
#include "quetzalhinge/limits/share_messages.h"
#include "worker_pool.h"

namespace qh::entry {

// Conversions between Cap'n Proto messages and the types of this process.

std::vector<EntryVm> ReadMembers(rpc::wire::View::Reader reader);
std::vector<ListedWorker> ReadWorkers(rpc::wire::View::Reader reader);

limits::BorrowRequest ReadBorrowRequest(rpc::wire::BorrowRequest::Reader reader);
void WriteBorrowRequest(const limits::BorrowRequest& request,
                        rpc::wire::BorrowRequest::Builder builder);

limits::LoanGrant ReadLoanGrant(rpc::wire::LoanGrant::Reader reader);
void WriteLoanGrant(const limits::LoanGrant& grant, rpc::wire::LoanGrant::Builder builder);

idempotency::StoredResponse ReadStoredResponse(rpc::wire::StoredResponse::Reader reader);
void WriteStoredResponse(const idempotency::StoredResponse& response,
                         rpc::wire::StoredResponse::Builder builder);

}  // namespace qh::entry
