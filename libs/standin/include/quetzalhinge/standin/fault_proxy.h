#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::standin {

/** One address that a FaultProxy passes on to another. */
struct FaultProxyRoute {
  std::string name;
  /** Port 0 takes a free one. */
  IpEndpoint listen;
  IpEndpoint upstream;
};

/** Options of a FaultProxy. */
struct FaultProxyOptions {
  /** HTTP address that switches faults; port 0 takes a free one. */
  IpEndpoint control;
  std::vector<FaultProxyRoute> routes;
};

/**
 * TCP proxy with faults for each route, switched by POST /standin/faults on the control address
 * with any of
 *   "route": name              the route meant; without it all routes
 *   "delay_ms": n              each piece of data is passed on n later, in both directions
 *   "bytes_per_second": n      data is passed on at this rate in each direction (0: no limit)
 *   "refuse": bool             the listener is closed, so that connecting fails
 *   "lose_answers": n          the next n connections on which an answer begins are closed instead
 *                              of passing it on (-1: all); the request was delivered
 *   "cut_answers_after": n     connections are closed after n bytes of answers (0: never)
 *   "silence_open": true       connections open now pass nothing on any more, but stay open
 *   "cut_open": true           connections open now are closed
 * GET /standin/state answers the number of open connections by route.
 */
class FaultProxy {
 public:
  FaultProxy(net::EventLoop& loop, const FaultProxyOptions& options);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /** Starts to listen at all addresses. The error's peer is the address that failed. */
  Result<Success> Start();

  /** Returns the control address. */
  IpEndpoint ControlEndpoint() const;

  /** Returns the address of the route `name`; the unset endpoint if there is none. */
  IpEndpoint RouteEndpoint(const std::string& name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::standin
