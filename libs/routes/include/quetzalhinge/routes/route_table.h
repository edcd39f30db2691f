#pragma once

#include <memory>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/routes/service_configuration.h"

namespace qh::routes {

/**
 * Validates a configuration: routes and services have names, service names are unique, each target
 * is a service of the configuration, prefixes start and end with '/', no two routes have the same
 * host and prefix, and durations, counts and weights are in range.
 * Errors: kInvalidArgument with a description of the first problem.
 */
Result<Success> CheckConfiguration(const ServiceConfiguration& configuration);

/** Lookup of routes and services in the active configuration, whose version only increases. */
class RouteTable {
 public:
  RouteTable();
  ~RouteTable();
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /**
   * Activates `configuration`. A route with several targets continues its sequence of targets if it
   * has the same ones as before.
   * @return false, without effect, if a configuration of the same or a later version is active
   */
  bool Apply(ServiceConfiguration configuration);

  /** Returns whether a configuration is active. */
  bool HasConfiguration() const noexcept;

  /** Returns the active configuration; an empty one with version 0 if there is none. */
  const ServiceConfiguration& Configuration() const noexcept;

  /**
   * Returns the route of `host` with the longest prefix that matches `path`, or null. `host` may
   * contain a port and its case is ignored; `path` must not contain a query. Valid until the next
   * Apply().
   */
  const Route* Find(std::string_view host, std::string_view path) const;

  /**
   * Returns the service for the next request of `route`, which must have been returned by Find().
   * Over any sequence of requests, the share of each target is exact to within one request.
   */
  const std::string& NextService(const Route& route);

  /** Returns the service named `name`, or null. Valid until the next Apply(). */
  const Service* FindService(std::string_view name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routes
