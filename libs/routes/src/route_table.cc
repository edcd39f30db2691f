#include "quetzalhinge/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace qh::routes {
namespace {

Error Invalid(const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "check configuration", "", detail};
}

bool IsValidPrefix(const std::string& text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string CheckRoute(const Route& route, const std::set<std::string>& services) {
  if (route.name.empty() || route.host.empty()) {
    return "a route has no name or no host";
  }
  if (!IsValidPrefix(route.prefix)) {
    return "route " + route.name + ": prefix '" + route.prefix + "' does not start and end with /";
  }
  if (route.timeout.count() <= 0 || route.target_latency.count() <= 0 || route.max_attempts < 1 ||
      route.priority < 0) {
    return "route " + route.name +
           ": timeout, target latency, priority or number of attempts is out of range";
  }
  if (route.targets.empty()) {
    return "route " + route.name + ": no target service";
  }
  double total = 0;
  for (const RouteTarget& target : route.targets) {
    if (services.count(target.service) == 0) {
      return "route " + route.name + ": unknown service " + target.service;
    }
    if (target.weight < 0) {
      return "route " + route.name + ": negative weight of a target";
    }
    total += target.weight;
  }
  return total > 0 ? "" : "route " + route.name + ": the weights of all targets are 0";
}

std::string NormalizeHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/**
 * State of smooth weighted round robin: for each request, every target's credit grows by its
 * weight, and the target with the largest credit is selected and loses the total weight.
 */
struct SplitState {
  std::vector<double> credits;
  std::vector<std::string> services;
};

}  // namespace

Result<Success> CheckConfiguration(const ServiceConfiguration& configuration) {
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return Invalid("service name is empty or not unique: '" + service.name + "'");
    }
    if (service.health_path.empty() || service.health_path.front() != '/' ||
        service.max_connections < 1) {
      return Invalid("service " + service.name + ": invalid health path or number of connections");
    }
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : configuration.routes) {
    const std::string problem = CheckRoute(route, services);
    if (!problem.empty()) {
      return Invalid(problem);
    }
    if (!host_prefixes.insert({NormalizeHost(route.host), route.prefix}).second) {
      return Invalid("more than one route for " + route.host + route.prefix);
    }
  }
  const CallerLimits& limits = configuration.limits;
  if (limits.max_header_bytes == 0 || limits.header_timeout.count() <= 0 ||
      limits.idle_timeout.count() <= 0) {
    return Invalid("a limit on the requests of callers is out of range");
  }
  return Success{};
}

struct RouteTable::Impl {
  ServiceConfiguration configuration;
  bool has_configuration = false;
  /** Routes by normalized host, the longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route*>> by_host;
  std::unordered_map<std::string, const Service*> services;
  /** By route name; only routes with at least two targets. */
  std::map<std::string, SplitState> splits;

  void RebuildIndex() {
    by_host.clear();
    services.clear();
    for (const Route& route : configuration.routes) {
      by_host[NormalizeHost(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : by_host) {
      std::sort(routes.begin(), routes.end(),
                [](const Route* a, const Route* b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const Service& service : configuration.services) {
      services[service.name] = &service;
    }
  }

  void UpdateSplits() {
    std::map<std::string, SplitState> updated;
    for (const Route& route : configuration.routes) {
      if (route.targets.size() < 2) {
        continue;
      }
      SplitState state;
      for (const RouteTarget& target : route.targets) {
        state.services.push_back(target.service);
      }
      state.credits.assign(route.targets.size(), 0.0);
      const auto old = splits.find(route.name);
      if (old != splits.end() && old->second.services == state.services) {
        state.credits = old->second.credits;
      }
      updated[route.name] = std::move(state);
    }
    splits = std::move(updated);
  }
};

RouteTable::RouteTable() : m_impl(std::make_unique<Impl>()) {}
RouteTable::~RouteTable() = default;

bool RouteTable::Apply(ServiceConfiguration configuration) {
  if (m_impl->has_configuration && configuration.version <= m_impl->configuration.version) {
    return false;
  }
  m_impl->configuration = std::move(configuration);
  m_impl->has_configuration = true;
  m_impl->RebuildIndex();
  m_impl->UpdateSplits();
  return true;
}

bool RouteTable::HasConfiguration() const noexcept { return m_impl->has_configuration; }

const ServiceConfiguration& RouteTable::Configuration() const noexcept {
  return m_impl->configuration;
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto routes = m_impl->by_host.find(NormalizeHost(host));
  if (routes == m_impl->by_host.end()) {
    return nullptr;
  }
  for (const Route* route : routes->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) {
      return route;
    }
  }
  return nullptr;
}

const std::string& RouteTable::NextService(const Route& route) {
  const auto found = m_impl->splits.find(route.name);
  if (found == m_impl->splits.end()) {
    return route.targets.front().service;
  }
  std::vector<double>& credits = found->second.credits;
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.targets[i].weight;
    total += route.targets[i].weight;
    if (credits[i] > credits[best]) {
      best = i;
    }
  }
  credits[best] -= total;
  return route.targets[best].service;
}

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = m_impl->services.find(std::string(name));
  return found == m_impl->services.end() ? nullptr : found->second;
}

}  // namespace qh::routes
