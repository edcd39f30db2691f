#pragma once

#include <map>
#include <memory>

#include "quetzalhinge/http/http_client.h"

namespace qh::load {

/** Creates and stores one HTTP client, with its connection pool, per address. */
class CallerClients {
 public:
  explicit CallerClients(net::EventLoop& loop) : m_loop(loop) {}

  /** Returns the client for `peer`, which is created on first use. */
  http::HttpClient& ClientFor(const IpEndpoint& peer) {
    std::unique_ptr<http::HttpClient>& client = m_clients[peer];
    if (client == nullptr) {
      client = std::make_unique<http::HttpClient>(m_loop, peer, http::HttpClientOptions{});
    }
    return *client;
  }

 private:
  net::EventLoop& m_loop;
  std::map<IpEndpoint, std::unique_ptr<http::HttpClient>> m_clients;
};

}  // namespace qh::load
