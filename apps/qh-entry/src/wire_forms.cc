#include "wire_forms.h"

#include <string>
#include <utility>

#include "quetzalhinge/messages/member_messages.h"

namespace qh::entry {
namespace {

using std::chrono::milliseconds;

}  // namespace

std::vector<EntryVm> ReadMembers(rpc::wire::View::Reader reader) {
  std::vector<EntryVm> vms;
  for (const auto& member : reader.getMembers()) {
    vms.push_back({member.getName().cStr(), member.getZone().cStr(), member.getSlot(),
                   member.getState() == rpc::wire::MemberState::LIVE,
                   messages::ReadEndpoint(member.getCallers()),
                   messages::ReadEndpoint(member.getEntryRpc()), member.getEntryIncarnation()});
  }
  return vms;
}

std::vector<ListedWorker> ReadWorkers(rpc::wire::View::Reader reader) {
  std::vector<ListedWorker> workers;
  for (const auto& worker : reader.getWorkers()) {
    ListedWorker listed;
    listed.info.id = worker.getName().cStr();
    listed.info.service = worker.getService().cStr();
    listed.info.zone = worker.getZone().cStr();
    listed.info.endpoint = messages::ReadEndpoint(worker.getEndpoint());
    listed.leaving = worker.getLeaving();
    workers.push_back(std::move(listed));
  }
  return workers;
}

limits::BorrowRequest ReadBorrowRequest(rpc::wire::BorrowRequest::Reader reader) {
  return {reader.getRequestId(), reader.getBorrowerSlot(), reader.getLenderSlot(),
          reader.getFraction(), milliseconds(reader.getLifetimeMillis())};
}

void WriteBorrowRequest(const limits::BorrowRequest& request,
                        rpc::wire::BorrowRequest::Builder builder) {
  builder.setRequestId(request.request_id);
  builder.setBorrowerSlot(request.borrower);
  builder.setLenderSlot(request.lender);
  builder.setFraction(request.fraction);
  // Rounded up: with too long a lifetime the lender only loses capacity; with too short a one it
  // could lend the same share twice.
  builder.setLifetimeMillis(
      static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(request.lifetime).count()));
}

limits::LoanGrant ReadLoanGrant(rpc::wire::LoanGrant::Reader reader) {
  return {reader.getRequestId(), reader.getBorrowerSlot(), reader.getLenderSlot(),
          reader.getFraction()};
}

void WriteLoanGrant(const limits::LoanGrant& grant, rpc::wire::LoanGrant::Builder builder) {
  builder.setRequestId(grant.request_id);
  builder.setBorrowerSlot(grant.borrower);
  builder.setLenderSlot(grant.lender);
  builder.setFraction(grant.fraction);
}

idempotency::StoredResponse ReadStoredResponse(rpc::wire::StoredResponse::Reader reader) {
  idempotency::StoredResponse response;
  response.status = reader.getStatus();
  for (const auto& header : reader.getHeaders()) {
    response.headers.emplace_back(header.getName().cStr(), header.getValue().cStr());
  }
  const auto body = reader.getBody().asChars();
  response.body.assign(body.begin(), body.size());
  return response;
}

void WriteStoredResponse(const idempotency::StoredResponse& response,
                         rpc::wire::StoredResponse::Builder builder) {
  builder.setStatus(static_cast<std::uint16_t>(response.status));
  auto headers = builder.initHeaders(static_cast<unsigned>(response.headers.size()));
  for (unsigned i = 0; i < headers.size(); ++i) {
    headers[i].setName(response.headers[i].first);
    headers[i].setValue(response.headers[i].second);
  }
  const kj::StringPtr body(response.body.c_str(), response.body.size());
  builder.setBody(body.asBytes());
}

}  // namespace qh::entry
