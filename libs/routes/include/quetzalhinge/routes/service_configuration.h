#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"

namespace qh::routes {

/** Whether the requests of a route may be executed more than once. */
enum class RouteKind {
  /** Idempotent: a request may be executed more than once. */
  kSafe,
  /** A request may be executed at most once. */
  kUnsafe,
};

inline constexpr EnumTable<RouteKind, 2> kRouteKindNames{
    {{{RouteKind::kSafe, "safe"}, {RouteKind::kUnsafe, "unsafe"}}}};

/** A service and its share of a route's requests. */
struct RouteTarget {
  std::string service;
  /** Share relative to the other targets of the route; at least 0. */
  double weight = 1;
};

/** Targets and parameters of the requests with one host and path prefix. */
struct Route {
  std::string name;
  std::string host;
  /** Starts and ends with '/'. */
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /** Maximum time until a caller gets a response. */
  std::chrono::milliseconds timeout{0};
  /** Latency that the requests of the route should not exceed. */
  std::chrono::milliseconds target_latency{0};
  /** Priority; 0 is the highest. */
  int priority = 0;
  /** Maximum number of workers to which one request is sent; at least 1. */
  int max_attempts = 1;
  /** Services that share the requests; at least one. */
  std::vector<RouteTarget> targets;
};

/** Parameters of all workers of a service. */
struct Service {
  std::string name;
  /** Path of the health endpoint. */
  std::string health_path;
  /** Maximum number of connections to one worker from all VMs together. */
  int max_connections = 0;
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** One version of the configuration that the operator sets. */
struct ServiceConfiguration {
  /** Increases with each change, not necessarily by 1. */
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
};

}  // namespace qh::routes
