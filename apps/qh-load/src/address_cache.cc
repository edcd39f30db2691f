#include "address_cache.h"

#include <nlohmann/json.hpp>

namespace qh::load {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kQuestionTimeout{1000};
/** Questions that fail before the waiting calls are told that there is no address. */
constexpr int kMaxQuestions = 20;
constexpr milliseconds kPauseAfterFailure{50};

std::vector<CallerAddress> ParseAddresses(const json& answer) {
  std::vector<CallerAddress> addresses;
  for (const json& address : answer.at("addresses")) {
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
  const Subject subject{service, customer};
  Answer& answer = m_answers[subject];
  if (!answer.addresses.empty() && m_loop.Now() < answer.expires) {
    callback(answer.addresses);
    return;
  }
  answer.waiting.push_back(std::move(callback));
  Refresh(service, customer);
}

void AddressCache::Refresh(const std::string& service, const std::string& customer) {
  const Subject subject{service, customer};
  Answer& answer = m_answers[subject];
  if (!answer.asking) {
    answer.asking = true;
    Ask(subject, 1);
  }
}

void AddressCache::Ask(const Subject& subject, int attempt) {
  ++m_questions;
  const std::string path = "/v1/addresses?service=" + http::PercentEncode(subject.first) +
                           "&customer=" + http::PercentEncode(subject.second);
  m_clients.Of(EndpointToAsk(m_answers[subject], attempt))
      .Start({"GET", path, {}, ""}, kQuestionTimeout,
             [this, subject, attempt](const http::HttpCallResult& result) {
               OnAnswer(subject, attempt, result);
             });
}

IpEndpoint AddressCache::EndpointToAsk(const Answer& answer, int attempt) {
  // The address in use is known to answer best; after a failure any other may know more.
  if (attempt == 1 && answer.addresses.size() > 1) {
    return answer.addresses[1].endpoint;
  }
  return m_entries[std::uniform_int_distribution<std::size_t>(0,
                                                              m_entries.size() - 1)(m_generator)];
}

void AddressCache::OnAnswer(const Subject& subject, int attempt,
                            const http::HttpCallResult& result) {
  Answer& answer = m_answers[subject];
  const auto* response = std::get_if<http::HttpResponse>(&result);
  std::vector<CallerAddress> addresses;
  if (response != nullptr && response->status == 200) {
    try {
      const json body = json::parse(response->body);
      addresses = ParseAddresses(body);
      answer.expires = m_loop.Now() + milliseconds(body.at("ttl_ms").get<std::int64_t>());
    } catch (const json::exception&) {
      addresses.clear();
    }
  }
  if (addresses.empty() && attempt < kMaxQuestions) {
    m_tasks.Start(kPauseAfterFailure, [this, subject, attempt] { Ask(subject, attempt + 1); });
    return;
  }
  answer.asking = false;
  if (!addresses.empty()) {
    answer.addresses = std::move(addresses);
  }
  std::vector<Callback> waiting;
  waiting.swap(answer.waiting);
  const std::vector<CallerAddress> passed_on =
      m_loop.Now() < answer.expires ? answer.addresses : std::vector<CallerAddress>{};
  for (const Callback& callback : waiting) {
    callback(passed_on);
  }
}

}  // namespace qh::load
