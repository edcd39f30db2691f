#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "caller_clients.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/standin/delayed_tasks.h"

namespace qh::load {

/** One address from a response to /v1/addresses, with the key prefix to use there. */
struct CallerAddress {
  IpEndpoint endpoint;
  std::string key_prefix;
};

/** Requests addresses from entry VMs and caches them for their ttl_ms (docs/design.md, 4.1). */
class AddressCache {
 public:
  /** Called with the addresses in order of preference; empty if no entry VM returned any. */
  using Callback = std::function<void(const std::vector<CallerAddress>& addresses)>;

  /**
   * @param entries addresses of entry VMs; a random one is used for the first request if fewer than
   *        two addresses are cached, and for each retry
   */
  AddressCache(net::EventLoop& loop, CallerClients& clients, std::vector<IpEndpoint> entries,
               std::uint64_t seed);

  /**
   * Passes the addresses for a service and customer to `callback`, before returning if they are
   * cached.
   */
  void Get(const std::string& service, const std::string& customer, Callback callback);

  /** Requests new addresses. The cached ones stay in use until the response or their expiry. */
  void Refresh(const std::string& service, const std::string& customer);

  /** Returns the number of requests for addresses, including retries. */
  std::uint64_t RequestCount() const noexcept { return m_request_count; }

 private:
  using CacheKey = std::pair<std::string, std::string>;
  struct CachedAddresses {
    std::vector<CallerAddress> addresses;
    TimePoint expires{};
    bool request_in_progress = false;
    std::vector<Callback> waiting_callbacks;
  };

  void SendRequest(const CacheKey& key, int attempt);
  void OnResponse(const CacheKey& key, int attempt, const http::HttpCallResult& result);
  IpEndpoint ChooseEndpoint(const CachedAddresses& cached, int attempt);

  net::EventLoop& m_loop;
  CallerClients& m_clients;
  std::vector<IpEndpoint> m_entries;
  RandomGenerator m_generator;
  standin::DelayedTasks m_tasks;
  std::map<CacheKey, CachedAddresses> m_cache;
  std::uint64_t m_request_count = 0;
};

}  // namespace qh::load
