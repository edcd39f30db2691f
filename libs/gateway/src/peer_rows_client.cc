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
  /** Connections of RequestKnown(), one for each request in progress. */
  std::map<std::uint64_t, std::shared_ptr<http::ClientConnection>> known_requests;
  std::uint64_t known_request_count = 0;

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

  /** Returns a callback that posts the result, because its connection is busy until it returns. */
  http::ClientConnection::Callback Posted(Callback callback) {
    return [weak = weak_from_this(), callback = std::move(callback)](http::HttpCallResult result) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      self->loop.Post(
          [weak, callback, shared = std::make_shared<http::HttpCallResult>(std::move(result))] {
            if (!weak.expired()) {
              callback(*shared);
            }
          });
    };
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
  m_impl->ConnectionTo(peer, table).Start(call, m_impl->Posted(std::move(callback)));
}

void PeerRowsClient::RequestKnown(const RelayPeer& peer, const std::string& table,
                                  std::uint64_t after, Callback callback) {
  http::ClientRequest call;
  call.request.method = "GET";
  call.request.path = std::string(kRelayPath) + "?table=" + http::PercentEncode(table) +
                      "&after=" + std::to_string(after) + "&known=1";
  call.timeout = m_impl->wait;
  const std::uint64_t number = ++m_impl->known_request_count;
  const auto connection = std::make_shared<http::ClientConnection>(m_impl->loop, peer.endpoint,
                                                                   http::ClientConnectionOptions{});
  m_impl->known_requests.emplace(number, connection);
  connection->Start(
      call, m_impl->Posted([impl = m_impl.get(), number,
                            callback = std::move(callback)](const http::HttpCallResult& result) {
        impl->known_requests.erase(number);
        callback(result);
      }));
}

}  // namespace qh::gateway
