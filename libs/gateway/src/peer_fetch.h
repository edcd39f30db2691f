#pragma once

#include <functional>
#include <memory>
#include <string>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::gateway {

/** Path at which a VM offers its copy of the store to peers, with "?after=<store version>". */
inline constexpr const char* kPeerCopyPath = "/internal/store-copy";

/** Fetches a peer's copy of the store; one fetch at a time. */
class PeerFetch {
 public:
  /** Called with the body of a good answer; empty if the peer has nothing later. */
  using Callback = std::function<void(const IpEndpoint& peer, const std::string& body)>;

  PeerFetch(net::EventLoop& loop, Callback callback);
  ~PeerFetch();
  PeerFetch(const PeerFetch&) = delete;
  PeerFetch& operator=(const PeerFetch&) = delete;

  /** Returns whether a fetch is under way. */
  bool IsBusy() const noexcept;

  /** Starts a fetch from `peer`; IsBusy() must be false. */
  void Start(const IpEndpoint& peer, std::uint64_t after);

 private:
  net::EventLoop& m_loop;
  Callback m_callback;
  std::shared_ptr<http::ClientConnection> m_connection;
};

}  // namespace qh::gateway
