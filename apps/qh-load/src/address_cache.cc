#include "address_cache.h"

#include <nlohmann/json.hpp>

namespace qh::load {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kRequestTimeout{1000};
/** Number of failed requests after which the waiting callbacks are called without new addresses. */
constexpr int kMaxAttempts = 20;
constexpr milliseconds kRetryDelay{50};

std::vector<CallerAddress> ParseAddresses(const json& body) {
  std::vector<CallerAddress> addresses;
  for (const json& address : body.at("addresses")) {
    addresses.push_back(
        {{address.at("ip").get<std::string>(), address.at("port").get<std::uint16_t>()},
         address.at("key_prefix").get<std::string>()});
  }
  return addresses;
}

}  // namespace

AddressCache::AddressCache(net::EventLoop& loop, CallerClients& clients,
                           std::vector<IpEndpoint> entries, std::uint64_t seed)
    : m_loop(loop),
      m_clients(clients),
      m_entries(std::move(entries)),
      m_generator(seed),
      m_tasks(loop) {}

void AddressCache::Get(const std::string& service, const std::string& customer, Callback callback) {
  const CacheKey key{service, customer};
  CachedAddresses& cached = m_cache[key];
  if (!cached.addresses.empty() && m_loop.Now() < cached.expires) {
    callback(cached.addresses);
    return;
  }
  cached.waiting_callbacks.push_back(std::move(callback));
  Refresh(service, customer);
}

void AddressCache::Refresh(const std::string& service, const std::string& customer) {
  const CacheKey key{service, customer};
  CachedAddresses& cached = m_cache[key];
  if (!cached.request_in_progress) {
    cached.request_in_progress = true;
    SendRequest(key, 1);
  }
}

void AddressCache::SendRequest(const CacheKey& key, int attempt) {
  ++m_request_count;
  const std::string path = "/v1/addresses?service=" + http::PercentEncode(key.first) +
                           "&customer=" + http::PercentEncode(key.second);
  m_clients.ClientFor(ChooseEndpoint(m_cache[key], attempt))
      .Start({"GET", path, {}, ""}, kRequestTimeout,
             [this, key, attempt](const http::HttpCallResult& result) {
               OnResponse(key, attempt, result);
             });
}

IpEndpoint AddressCache::ChooseEndpoint(const CachedAddresses& cached, int attempt) {
  // Entry VMs in use are known to respond well, so the first attempt goes to a cached address.
  // After a failure, any other entry VM may have newer information.
  if (attempt == 1 && cached.addresses.size() > 1) {
    return cached.addresses[1].endpoint;
  }
  return m_entries[std::uniform_int_distribution<std::size_t>(0,
                                                              m_entries.size() - 1)(m_generator)];
}

void AddressCache::OnResponse(const CacheKey& key, int attempt,
                              const http::HttpCallResult& result) {
  CachedAddresses& cached = m_cache[key];
  const auto* response = std::get_if<http::HttpResponse>(&result);
  std::vector<CallerAddress> addresses;
  if (response != nullptr && response->status == 200) {
    try {
      const json body = json::parse(response->body.Bytes());
      addresses = ParseAddresses(body);
      cached.expires = m_loop.Now() + milliseconds(body.at("ttl_ms").get<std::int64_t>());
    } catch (const json::exception&) {
      addresses.clear();
    }
  }
  if (addresses.empty() && attempt < kMaxAttempts) {
    m_tasks.Start(kRetryDelay, [this, key, attempt] { SendRequest(key, attempt + 1); });
    return;
  }
  cached.request_in_progress = false;
  if (!addresses.empty()) {
    cached.addresses = std::move(addresses);
  }
  std::vector<Callback> waiting_callbacks;
  waiting_callbacks.swap(cached.waiting_callbacks);
  const std::vector<CallerAddress> valid_addresses =
      m_loop.Now() < cached.expires ? cached.addresses : std::vector<CallerAddress>{};
  for (const Callback& callback : waiting_callbacks) {
    callback(valid_addresses);
  }
}

}  // namespace qh::load
