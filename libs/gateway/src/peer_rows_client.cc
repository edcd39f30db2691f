#include "peer_rows_client.h"

#include <utility>

#include "quetzalhinge/gateway/relayed_store.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * Time for which a VM waits at a peer, as a fraction of the time within which a change must take
 * effect. Longer than the peer's read cycle: a wait that ended before the peer has read again would
 * miss that read and only get the next one.
 */
constexpr double kWaitFraction = 0.65;

/** Time allowed for the response beyond the wait. */
constexpr milliseconds kResponseMargin{400};

}  // namespace

struct PeerRowsClient::Impl : public std::enable_shared_from_this<PeerRowsClient::Impl> {
  struct Link {
    std::string vm;
    std::shared_ptr<http::ClientConnection> connection;
  };

  net::EventLoop& loop;
  milliseconds wait;
  std::map<std::string, Link> links;

  Impl(net::EventLoop& event_loop, milliseconds apply_within)
      : loop(event_loop),
        wait(std::chrono::duration_cast<milliseconds>(apply_within * kWaitFraction)) {}

  http::ClientConnection& ConnectionTo(const RelayPeer& peer, const std::string& table) {
    Link& link = links[table];
    if (link.connection == nullptr || !link.connection->IsIdle() || link.vm != peer.vm ||
        loop.Now() > link.connection->IdleUntil()) {
      link = {peer.vm, std::make_shared<http::ClientConnection>(loop, peer.endpoint,
                                                                http::ClientConnectionOptions{})};
    }
    return *link.connection;
  }
};

PeerRowsClient::PeerRowsClient(net::EventLoop& loop, milliseconds apply_within)
    : m_impl(std::make_shared<Impl>(loop, apply_within)) {}
PeerRowsClient::~PeerRowsClient() = default;

void PeerRowsClient::Request(const RelayPeer& peer, const std::string& table,
                             std::optional<std::uint64_t> after, Callback callback) {
  http::ClientRequest call;
  call.request.method = "GET";
  call.request.path = std::string(kRelayPath) + "?table=" + http::PercentEncode(table);
  if (after.has_value()) {
    call.request.path +=
        "&after=" + std::to_string(*after) + "&wait=" + std::to_string(m_impl->wait.count());
  }
  call.timeout = m_impl->wait + kResponseMargin;
  m_impl->ConnectionTo(peer, table)
      .Start(call, [weak = std::weak_ptr<Impl>(m_impl),
                    callback = std::move(callback)](http::HttpCallResult result) {
        const auto impl = weak.lock();
        if (impl == nullptr) {
          return;
        }
        // Posted, because the connection is busy until this callback has returned.
        impl->loop.Post(
            [weak, callback, shared = std::make_shared<http::HttpCallResult>(std::move(result))] {
              if (!weak.expired()) {
                callback(*shared);
              }
            });
      });
}

}  // namespace qh::gateway
