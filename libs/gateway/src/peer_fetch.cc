#include "peer_fetch.h"

#include <utility>

#include "quetzalhinge/logging/log.h"

namespace qh::gateway {
namespace {

/** Peers are near; one that needs longer is asked later. */
constexpr std::chrono::milliseconds kFetchTimeout{600};

}  // namespace

PeerFetch::PeerFetch(net::EventLoop& loop, Callback callback)
    : m_loop(loop), m_callback(std::move(callback)) {}
PeerFetch::~PeerFetch() = default;

bool PeerFetch::IsBusy() const noexcept { return m_connection != nullptr; }

void PeerFetch::Start(const IpEndpoint& peer, std::uint64_t after) {
  m_connection =
      std::make_shared<http::ClientConnection>(m_loop, peer, http::ClientConnectionOptions{});
  http::ClientRequest call;
  call.request.method = "GET";
  call.request.path = std::string(kPeerCopyPath) + "?after=" + std::to_string(after);
  call.timeout = kFetchTimeout;
  m_connection->Start(call, [this, peer](const http::HttpCallResult& result) {
    // Kept until this function returns; its own callback is running.
    const auto connection = std::exchange(m_connection, nullptr);
    if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
      logging::LogDecision("store", "peer not reached",
                           {{"peer", ToString(peer)}, {"detail", failure->error.detail}});
      return;
    }
    const auto& response = std::get<http::HttpResponse>(result);
    if (response.status == 200) {
      m_callback(peer, response.body);
    }
  });
}

}  // namespace qh::gateway
