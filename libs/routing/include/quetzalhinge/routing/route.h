#pragma once

#include <string>
#include <string_view>

namespace qh::routing {

/** Requests that are expected to take about the same time. */
struct Route {
  std::string service;
  std::string method;
  /** Path with variable segments replaced by "*"; see PathTemplate(). */
  std::string path_template;

  auto operator<=>(const Route&) const = default;
};

/**
 * Returns `path` without its query, with each segment that looks like an identifier replaced by
 * "*": one that contains a digit (other than a version such as "v1"), or is longer than 32
 * characters. Segments after the eighth are replaced by a single "*", so that callers cannot make
 * templates of unbounded length.
 */
std::string PathTemplate(std::string_view path);

/** Returns the route of a request with this service, method and path. */
Route RouteOf(std::string_view service, std::string_view method, std::string_view path);

}  // namespace qh::routing
