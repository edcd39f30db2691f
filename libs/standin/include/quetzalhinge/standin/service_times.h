#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/random_id.h"

namespace qh::standin {

/** Distribution of service times for paths with a given prefix. */
struct RouteTimes {
  std::string path_prefix = "/";
  /** Median of the log-normal distribution, in milliseconds. */
  double median_ms = 5;
  /** Standard deviation of the logarithm; 0 gives a constant service time. */
  double sigma = 0.3;
  /** Share of requests that take `straggler_ms` instead, from 0 to 1. */
  double straggler_share = 0;
  double straggler_ms = 0;
};

/** Generates service times by route; the longest matching prefix applies. */
class ServiceTimes {
 public:
  /** If `routes` is empty, all paths use the defaults of RouteTimes. */
  explicit ServiceTimes(std::vector<RouteTimes> routes);

  /** Returns a random service time for a request to `path`. */
  std::chrono::duration<double, std::milli> Sample(std::string_view path,
                                                   RandomGenerator& generator) const;

 private:
  const RouteTimes& RouteOf(std::string_view path) const;

  std::vector<RouteTimes> m_routes;
};

}  // namespace qh::standin
