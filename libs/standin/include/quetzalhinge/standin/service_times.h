#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/random_id.h"

namespace qh::standin {

/** Distribution of service times for the paths that start with a prefix. */
struct RouteTimes {
  std::string path_prefix = "/";
  /** Median in milliseconds of a log-normal distribution. */
  double median_ms = 5;
  /** Standard deviation of the logarithm; 0 gives a constant time. */
  double sigma = 0.3;
  /** Share of requests that take `straggler_ms` instead, within [0, 1]. */
  double straggler_share = 0;
  double straggler_ms = 0;
};

/** Service times by route; the longest matching prefix decides. */
class ServiceTimes {
 public:
  /** Without any route, all paths have the defaults of RouteTimes. */
  explicit ServiceTimes(std::vector<RouteTimes> routes);

  /** Returns a service time for a request to `path`. */
  std::chrono::duration<double, std::milli> Sample(std::string_view path,
                                                   RandomGenerator& generator) const;

 private:
  const RouteTimes& RouteOf(std::string_view path) const;

  std::vector<RouteTimes> m_routes;
};

}  // namespace qh::standin
