#include "peer_check.h"

#include <utility>

namespace qh::gateway {
namespace {

Result<RelayedRows> DecodeResponse(const RelayPeer& peer, const http::HttpCallResult& result) {
  const auto* response = std::get_if<http::HttpResponse>(&result);
  if (response == nullptr) {
    return std::get<http::HttpCallFailure>(result).error;
  }
  if (response->status != kRelayOk) {
    return Error{ErrorCode::kUnavailable, "check rows", peer.vm,
                 "status " + std::to_string(response->status)};
  }
  return DecodeRows(peer.vm, response->body);
}

}  // namespace

void PeerCheck::Start(const std::string& table, std::uint64_t after, const Callback& callback) {
  if (m_choose == nullptr) {
    return;
  }
  for (const RelayPeer& peer : m_choose()) {
    m_requests.Add();
    m_client.RequestKnown(peer, table, after,
                          [this, peer, table, callback,
                           requested_at = m_loop.Now()](const http::HttpCallResult& result) {
                            auto relayed = DecodeResponse(peer, result);
                            if (IsOk(relayed)) {
                              callback({peer, requested_at, TakeValue(std::move(relayed))});
                            } else {
                              m_log.CheckFailed(table, peer.vm, requested_at,
                                                ErrorOf(relayed).detail);
                            }
                          });
  }
}

}  // namespace qh::gateway
