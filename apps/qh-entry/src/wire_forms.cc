#include "wire_forms.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace qh::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

IpEndpoint ReadEndpoint(rpc::wire::Endpoint::Reader reader) {
  return {reader.getIp().cStr(), reader.getPort()};
}

}  // namespace

Result<contract::ChangesAnswer> ReadChanges(rpc::wire::ContractChanges::Reader reader) {
  std::vector<contract::ContractChange> changes;
  for (const auto& item : reader.getChanges()) {
    const std::string text(item.getJson().cStr(), item.getJson().size());
    auto change = contract::ContractChangeFromJson(nlohmann::json::parse(text, nullptr, false));
    if (!IsOk(change)) {
      return ErrorOf(change);
    }
    changes.push_back(TakeValue(std::move(change)));
  }
  if (reader.getIsSnapshot()) {
    return contract::ChangesAnswer(
        contract::ContractSnapshot{reader.getRevision(), std::move(changes)});
  }
  return contract::ChangesAnswer(std::move(changes));
}

std::vector<EntryVm> ReadMembers(rpc::wire::View::Reader reader) {
  std::vector<EntryVm> vms;
  for (const auto& member : reader.getMembers()) {
    vms.push_back({member.getName().cStr(), member.getZone().cStr(), member.getSlot(),
                   member.getState() == rpc::wire::MemberState::LIVE,
                   ReadEndpoint(member.getCallers()), ReadEndpoint(member.getEntryRpc()),
                   member.getEntryIncarnation()});
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
    listed.info.endpoint = ReadEndpoint(worker.getEndpoint());
    listed.leaving = worker.getLeaving();
    workers.push_back(std::move(listed));
  }
  return workers;
}

membership::Notice ReadNotice(rpc::wire::Notice::Reader reader) {
  return {static_cast<membership::NoticeKind>(reader.getKind()),
          reader.getSubject().cStr(),
          reader.getDetail().cStr(),
          reader.getValue(),
          reader.getStampMicros(),
          milliseconds(reader.getLifetimeMillis())};
}

void WriteNotice(const membership::Notice& notice, rpc::wire::Notice::Builder builder) {
  builder.setKind(static_cast<std::uint8_t>(notice.kind));
  builder.setSubject(notice.subject);
  builder.setDetail(notice.detail);
  builder.setValue(notice.value);
  builder.setStampMicros(notice.stamp_us);
  builder.setLifetimeMillis(static_cast<std::uint32_t>(notice.lifetime.count()));
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
  // Rounded up: a lender that counts too long loses capacity, one that counts too short lends
  // twice.
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
