#pragma once

#include <memory>
#include <string_view>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/routing/route.h"
#include "quetzalhinge/routing/work_class.h"

namespace qh::routing {

/** Constants of a RouteClassifier. */
struct ClassifierOptions {
  /** Samples from which on a route is classified; before, it is WorkClass::kUnknown. */
  int min_samples = 20;
  /** A route becomes long when its median exceeds this multiple of its service's median. */
  double long_above = 4.0;
  /** A long route becomes short again when its median falls below this multiple. */
  double short_below = 2.5;
  /** Half-life of samples: old ones lose half of their weight in each such time. */
  Duration half_life = std::chrono::seconds(30);
  /** Half-life of the shares of short and long work time from which the reserve follows. */
  Duration reserve_half_life = std::chrono::seconds(5);
  /** Most classified routes; the one used least recently is forgotten first. */
  int max_routes = 1024;
  /**
   * Most routes that are still unknown. They are kept apart, so that a flood of made-up paths
   * displaces only other unknown routes.
   */
  int max_unknown_routes = 256;
  /** Most services; further ones are never classified. */
  int max_services = 512;
  /** Bounds of the part of a worker's slots that is held back for short work. */
  double min_reserved_share = 0.15;
  double max_reserved_share = 0.85;
};

/** What is known about a route. */
struct RouteProfile {
  WorkClass work_class = WorkClass::kUnknown;
  /** Median latency; zero while the route is unknown. */
  Duration median{};
  /** 95th percentile of the latency, for hedging; zero while the route is unknown. */
  Duration p95{};
};

/**
 * Classifies routes as short or long work from the latencies of their calls. Each route and each
 * service has a log-linear histogram whose counts decay. Memory is bounded by the options (about
 * 1 KB a route). Pure: the caller passes the time.
 */
class RouteClassifier {
 public:
  explicit RouteClassifier(const ClassifierOptions& options = {});
  ~RouteClassifier();
  RouteClassifier(const RouteClassifier&) = delete;
  RouteClassifier& operator=(const RouteClassifier&) = delete;

  /** Returns what is known about `route`. Does not add the route. */
  RouteProfile ProfileOf(const Route& route) const;

  /**
   * Counts the latency of a call that succeeded or timed out. Calls that failed or were shed must
   * not be recorded: fast failures would make a long route look short.
   */
  void Record(const Route& route, Duration latency, TimePoint now);

  /**
   * Returns the part of each worker's slots that is held back for short work of `service`, for
   * SelectionRequest::reserved_share. It follows the share of short work in the recent work time,
   * within the bounds of the options. 0 while no short or no long work has been seen recently:
   * nothing is held back that nobody would use.
   */
  double ReservedShare(std::string_view service, TimePoint now) const;

  /** Returns how many routes are held, classified and unknown ones together. */
  int RouteCount() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routing
