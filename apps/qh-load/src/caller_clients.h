#pragma once

#include <map>
#include <memory>

#include "quetzalhinge/http/http_client.h"

namespace qh::load {

/** One HTTP client with its pool of connections for each address. */
class CallerClients {
 public:
  explicit CallerClients(net::EventLoop& loop) : m_loop(loop) {}

  /** Returns the client of `peer`, made on first use. */
  http::HttpClient& Of(const IpEndpoint& peer) {
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
