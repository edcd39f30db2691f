#pragma once

#include <memory>
#include <string_view>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/routes/service_configuration.h"

namespace qh::routes {

/**
 * Checks the rules that a configuration has to keep: routes and services have names, each target is
 * a service of the configuration, prefixes start and end with '/', no two routes have the same host
 * and prefix, times and counts are positive. Errors: kInvalidArgument with the first fault.
 */
Result<Success> CheckConfiguration(const ServiceConfiguration& configuration);

/** The configuration in force. Its version never goes back. */
class RouteTable {
 public:
  RouteTable();
  ~RouteTable();
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /**
   * Puts `configuration` in force. Split targets keep their position in the sequence if the route
   * still has the same ones.
   * @return false, with nothing changed, if a configuration of this or a later version is in force
   */
  bool Apply(ServiceConfiguration configuration);

  /** Returns whether a configuration is in force. */
  bool HasConfiguration() const noexcept;

  /** Returns the configuration in force; version 0 if there is none. */
  const ServiceConfiguration& Configuration() const noexcept;

  /**
   * Returns the route of `host` with the longest prefix that begins `path` (without query), or
   * null. Valid until the next Apply().
   */
  const Route* Find(std::string_view host, std::string_view path) const;

  /**
   * Returns the service for the next request of `route`, which Find() returned: over any run of
   * requests, each target gets its share to within one request.
   */
  const std::string& NextService(const Route& route);

  /** Returns the service called `name`, or null. Valid until the next Apply(). */
  const Service* FindService(std::string_view name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::routes
