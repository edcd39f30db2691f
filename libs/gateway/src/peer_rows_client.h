#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::gateway {

/** Requests rows from other VMs. One request per table is in progress at a time. */
class PeerRowsClient {
 public:
  using Callback = std::function<void(const http::HttpCallResult& result)>;

  /**
   * The loop must outlive this object.
   * @param apply_within time within which a change in the store takes effect at this VM
   */
  PeerRowsClient(net::EventLoop& loop, std::chrono::milliseconds apply_within);
  ~PeerRowsClient();
  PeerRowsClient(const PeerRowsClient&) = delete;
  PeerRowsClient& operator=(const PeerRowsClient&) = delete;

  /**
   * Requests all rows of `table`, or waits for its changes after the store version `after`. The
   * callback does not run within this call; a request that is replaced by another one of the same
   * table ends without it.
   */
  void Request(const RelayPeer& peer, const std::string& table, std::optional<std::uint64_t> after,
               Callback callback);

  /**
   * Requests the changes of `table` after the store version `after` that `peer` knows now. Does not
   * affect other requests; the callback does not run within this call.
   */
  void RequestKnown(const RelayPeer& peer, const std::string& table, std::uint64_t after,
                    Callback callback);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
