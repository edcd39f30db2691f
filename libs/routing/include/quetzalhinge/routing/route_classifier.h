#pragma once

#include <memory>
#include <string_view>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/route.h"
#include "quetzalhinge/routing/work_class.h"

namespace qh::routing {

/** Parameters of a RouteClassifier. */
struct ClassifierOptions {
  /** Minimum number of samples of a classified route; below, it is WorkClass::kUnknown. */
  int min_samples = 20;
  /** A route becomes long when its median exceeds this multiple of its service's median. */
  double long_above = 4.0;
  /** A long route becomes short again when its median falls below this multiple. */
  double short_below = 2.5;
  /** Half-life of the weight of latency samples. */
  Duration half_life = std::chrono::seconds(30);
  /** Half-life of the work times of short and long routes that determine ReservedShare(). */
  Duration reserve_half_life = std::chrono::seconds(5);
  /** Maximum number of classified routes; the least recently used one is evicted first. */
  int max_routes = 1024;
  /**
   * Maximum number of routes that are not classified yet. They have their own list, so that a flood
   * of made-up paths evicts only other unclassified routes.
   */
  int max_unknown_routes = 256;
  /** Maximum number of services; the routes of further services are never classified. */
  int max_services = 512;
  /** Bounds of the share of a worker's slots that is reserved for short work. */
  double min_reserved_share = 0.15;
  double max_reserved_share = 0.85;
};

/** Class and latencies of a route. */
struct RouteProfile {
  WorkClass work_class = WorkClass::kUnknown;
  /** Median latency; zero while the route is unknown. */
  Duration median{};
  /** 95th percentile of the latency, for hedging; zero while the route is unknown. */
  Duration p95{};
};

/**
 * Classifies routes as short or long work by the latencies of their calls. Each route and each
 * service has a log-linear histogram whose counts decay. The options bound the memory use, which is
 * about 1 KB per route. Does not read a clock: the caller passes the time.
 */
class RouteClassifier {
 public:
  explicit RouteClassifier(const ClassifierOptions& options = {});
  ~RouteClassifier();
  RouteClassifier(const RouteClassifier&) = delete;
  RouteClassifier& operator=(const RouteClassifier&) = delete;

  /** Returns the profile of `route`; WorkClass::kUnknown if it is not classified. */
  RouteProfile ProfileOf(const Route& route) const;

  /**
   * Records the latency of a call that succeeded or timed out. Calls that failed or were shed must
   * not be recorded, because fast failures would make a long route look short.
   */
  void Record(const Route& route, Duration latency, TimePoint now);

  /**
   * Returns the share of each worker's slots that is reserved for short work of `service`, for
   * SelectionRequest::reserved_share. It is the share of short work in the recent work time, within
   * the bounds of the options. 0 if there has been no short or no long work recently, because
   * reserved slots would then stay unused.
   */
  double ReservedShare(std::string_view service, TimePoint now) const;

  /** Returns the number of stored routes, classified or not. */
  int RouteCount() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routing
