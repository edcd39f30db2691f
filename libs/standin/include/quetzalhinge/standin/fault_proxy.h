#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::standin {

/** One listening address of a FaultProxy and the upstream address that it forwards to. */
struct FaultProxyRoute {
  std::string name;
  /** Port 0 selects a free port. */
  IpEndpoint listen;
  IpEndpoint upstream;
};

/** Options of a FaultProxy. */
struct FaultProxyOptions {
  /** HTTP address of the control API; port 0 selects a free port. */
  IpEndpoint control;
  std::vector<FaultProxyRoute> routes;
};

/**
 * TCP proxy that injects faults per route. POST /standin/faults on the control address sets faults
 * with a JSON object of any of these members:
 *   "route": name              applies to this route only; without it to all routes
 *   "delay_ms": n              delays all data by n ms, in both directions
 *   "bytes_per_second": n      limits the rate of data in each direction (0: no limit)
 *   "refuse": bool             closes the listener, so that new connections are refused
 *   "lose_answers": n          closes the connection instead of forwarding the response, for the
 *                              next n connections on which response data arrives (-1: all); the
 *                              upstream has received the request
 *   "cut_answers_after": n     closes each connection after n bytes of response data (0: never)
 *   "silence_open": true       stops forwarding on all open connections, but keeps them open
 *   "cut_open": true           closes all open connections
 * Members that are absent keep their value. GET /standin/state returns the number of open
 * connections by route.
 */
class FaultProxy {
 public:
  FaultProxy(net::EventLoop& loop, const FaultProxyOptions& options);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /** Listens on all addresses. On failure, the error's peer is the address concerned. */
  Result<Success> Start();

  /** Returns the control address. */
  IpEndpoint ControlEndpoint() const;

  /** Returns the listening address of the route `name`; the unset endpoint if it is unknown. */
  IpEndpoint RouteEndpoint(const std::string& name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
