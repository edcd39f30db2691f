#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"

namespace qh::routes {

/** What a route's requests may do. */
enum class RouteKind {
  /** Idempotent: a request may run more than once. */
  kSafe,
  /** A request may run once at most. */
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

/** Where requests of one host and path prefix go, and what holds for them. */
struct Route {
  std::string name;
  std::string host;
  /** Starts and ends with '/'. */
  std::string prefix;
  RouteKind kind = RouteKind::kUnsafe;
  /** Longest time that a caller is kept waiting. */
  std::chrono::milliseconds timeout{0};
  /** Time within which a response is worth most. */
  std::chrono::milliseconds target_latency{0};
  /** Rank; 0 is the highest. */
  int priority = 0;
  /** Workers to which one request may be sent, at most; at least 1. */
  int max_attempts = 1;
  /** At least one. */
  std::vector<RouteTarget> targets;
};

/** What holds for all workers of a service. */
struct Service {
  std::string name;
  /** Path of the health endpoint. */
  std::string health_path;
  /** Connections that one worker accepts from all VMs together. */
  int max_connections = 0;
};

/** Bounds on what a caller may send. */
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/** Everything that the operator sets, as of one version. */
struct ServiceConfiguration {
  /** Grows with each change, in uneven steps. */
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
};

}  // namespace qh::routes
