#include "quetzalhinge/standin/service_times.h"

#include <cmath>
#include <random>
#include <utility>

namespace qh::standin {

ServiceTimes::ServiceTimes(std::vector<RouteTimes> routes) : m_routes(std::move(routes)) {
  if (m_routes.empty()) {
    m_routes.emplace_back();
  }
}

std::chrono::duration<double, std::milli> ServiceTimes::Sample(std::string_view path,
                                                               RandomGenerator& generator) const {
  const RouteTimes& route = RouteOf(path);
  std::bernoulli_distribution is_straggler(route.straggler_share);
  if (is_straggler(generator)) {
    return std::chrono::duration<double, std::milli>(route.straggler_ms);
  }
  if (route.sigma <= 0) {
    return std::chrono::duration<double, std::milli>(route.median_ms);
  }
  std::lognormal_distribution<double> times(std::log(route.median_ms), route.sigma);
  return std::chrono::duration<double, std::milli>(times(generator));
}

const RouteTimes& ServiceTimes::RouteOf(std::string_view path) const {
  const RouteTimes* longest = nullptr;
  for (const RouteTimes& route : m_routes) {
    if (path.starts_with(route.path_prefix) &&
        (longest == nullptr || route.path_prefix.size() > longest->path_prefix.size())) {
      longest = &route;
    }
  }
  return longest != nullptr ? *longest : m_routes.front();
}

}  // namespace qh::standin
