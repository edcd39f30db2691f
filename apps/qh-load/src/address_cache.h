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

/** One address of an address answer. */
struct CallerAddress {
  IpEndpoint endpoint;
  std::string key_prefix;
};

/** Asks entry VMs for addresses and keeps each answer for its ttl_ms (docs/design.md, 4.1). */
class AddressCache {
 public:
  /** Called with the addresses in order of preference; empty if no entry VM answered. */
  using Callback = std::function<void(const std::vector<CallerAddress>& addresses)>;

  /** @param entries addresses of entry VMs that may be asked first */
  AddressCache(net::EventLoop& loop, CallerClients& clients, std::vector<IpEndpoint> entries,
               std::uint64_t seed);

  /** Passes the addresses for a service and customer to `callback`, at once if they are cached. */
  void Get(const std::string& service, const std::string& customer, Callback callback);

  /** Asks again; the answer in use stays until a new one comes or it expires. */
  void Refresh(const std::string& service, const std::string& customer);

  /** Returns how often entry VMs were asked. */
  std::uint64_t Questions() const noexcept { return m_questions; }

 private:
  using Subject = std::pair<std::string, std::string>;
  struct Answer {
    std::vector<CallerAddress> addresses;
    TimePoint expires{};
    bool asking = false;
    std::vector<Callback> waiting;
  };

  void Ask(const Subject& subject, int attempt);
  void OnAnswer(const Subject& subject, int attempt, const http::HttpCallResult& result);
  IpEndpoint EndpointToAsk(const Answer& answer, int attempt);

  net::EventLoop& m_loop;
  CallerClients& m_clients;
  std::vector<IpEndpoint> m_entries;
  RandomGenerator m_generator;
  standin::DelayedTasks m_tasks;
  std::map<Subject, Answer> m_answers;
  std::uint64_t m_questions = 0;
};

}  // namespace qh::load
