#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "quetzalhinge/standin/fault_proxy.h"

namespace qh::standin {

/** Active faults of one route; FaultProxy documents the members. */
struct RouteFaults {
  std::int64_t delay_ms = 0;
  std::int64_t bytes_per_second = 0;
  bool refuse = false;
  std::int64_t lose_answers = 0;
  std::int64_t cut_answers_after = 0;
};

/** Listener and connections of one route of a FaultProxy. */
class ProxyRoute {
 public:
  ProxyRoute(net::EventLoop& loop, const FaultProxyRoute& route);
  ~ProxyRoute();
  ProxyRoute(const ProxyRoute&) = delete;
  ProxyRoute& operator=(const ProxyRoute&) = delete;

  /** Listens on the route's address. */
  Result<Success> Listen();

  /** Sets faults; throws nlohmann::json::exception if a value has the wrong type. */
  void ApplyFaults(const nlohmann::json& changes);

  const std::string& Name() const noexcept;
  IpEndpoint LocalEndpoint() const;
  std::size_t OpenConnections() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
