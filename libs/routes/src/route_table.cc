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

bool IsPrefix(const std::string& text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string CheckRoute(const Route& route, const std::set<std::string>& services) {
  if (route.name.empty() || route.host.empty()) {
    return "a route without name or host";
  }
  if (!IsPrefix(route.prefix)) {
    return "route " + route.name + ": prefix '" + route.prefix + "' does not start and end with /";
  }
  if (route.timeout.count() <= 0 || route.target_latency.count() <= 0 || route.max_attempts < 1 ||
      route.priority < 0) {
    return "route " + route.name + ": a time, rank or number of attempts is out of range";
  }
  if (route.targets.empty()) {
    return "route " + route.name + ": no service";
  }
  double total = 0;
  for (const RouteTarget& target : route.targets) {
    if (services.count(target.service) == 0) {
      return "route " + route.name + ": unknown service " + target.service;
    }
    if (target.weight < 0) {
      return "route " + route.name + ": negative weight";
    }
    total += target.weight;
  }
  return total > 0 ? "" : "route " + route.name + ": weights add up to 0";
}

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/** Smooth weighted round robin: the target with the largest credit is next and pays the total. */
struct SplitState {
  std::vector<double> credits;
  std::vector<std::string> services;
};

}  // namespace

Result<Success> CheckConfiguration(const ServiceConfiguration& configuration) {
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return Invalid("a service without name, or twice: '" + service.name + "'");
    }
    if (service.health_path.empty() || service.health_path.front() != '/' ||
        service.max_connections < 1) {
      return Invalid("service " + service.name + ": health path or connections out of range");
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    const std::string fault = CheckRoute(route, services);
    if (!fault.empty()) {
      return Invalid(fault);
    }
    if (!places.insert({LowerHost(route.host), route.prefix}).second) {
      return Invalid("two routes for " + route.host + route.prefix);
    }
  }
  const CallerLimits& limits = configuration.limits;
  if (limits.max_header_bytes == 0 || limits.header_timeout.count() <= 0 ||
      limits.idle_timeout.count() <= 0) {
    return Invalid("a limit on callers is out of range");
  }
  return Success{};
}

struct RouteTable::Impl {
  ServiceConfiguration configuration;
  bool has_configuration = false;
  /** By host; the longest prefix comes first. */
  std::unordered_map<std::string, std::vector<const Route*>> by_host;
  std::unordered_map<std::string, const Service*> services;
  /** By name of the route. */
  std::map<std::string, SplitState> splits;

  void Index() {
    by_host.clear();
    services.clear();
    for (const Route& route : configuration.routes) {
      by_host[LowerHost(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : by_host) {
      std::sort(routes.begin(), routes.end(),
                [](const Route* a, const Route* b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const Service& service : configuration.services) {
      services[service.name] = &service;
    }
  }

  void KeepSplits() {
    std::map<std::string, SplitState> kept;
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
      kept[route.name] = std::move(state);
    }
    splits = std::move(kept);
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
  m_impl->Index();
  m_impl->KeepSplits();
  return true;
}

bool RouteTable::HasConfiguration() const noexcept { return m_impl->has_configuration; }

const ServiceConfiguration& RouteTable::Configuration() const noexcept {
  return m_impl->configuration;
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto routes = m_impl->by_host.find(LowerHost(host));
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
