#include "quetzalhinge/standin/fault_proxy.h"

#include <utility>

#include "proxy_route.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {
namespace {

using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;

constexpr std::size_t kMaxControlBytes = 64 * 1024;

}  // namespace

struct FaultProxy::Impl {
  std::vector<std::unique_ptr<ProxyRoute>> routes;
  http::HttpServer control;

  Impl(net::EventLoop& loop, const FaultProxyOptions& options)
      : control(loop, {options.control, kMaxControlBytes, std::chrono::seconds(10)},
                [this](const std::shared_ptr<http::HttpExchange>& exchange) {
                  exchange->Respond(HandleControl(exchange->Request()));
                }) {
    for (const FaultProxyRoute& route : options.routes) {
      routes.push_back(std::make_unique<ProxyRoute>(loop, route));
    }
  }

  HttpResponse HandleControl(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/standin/state") {
      json open = json::object();
      for (const auto& route : routes) {
        open[route->Name()] = route->OpenConnections();
      }
      return JsonResponse(200, {{"open_connections", open}});
    }
    if (request.method == "POST" && request.path == "/standin/faults") {
      return WithJsonObject(request.body,
                            [&](const json& body) { return ApplyFaultsToRoutes(body); });
    }
    return JsonResponse(404, {{"message", "no such control path"}});
  }

  HttpResponse ApplyFaultsToRoutes(const json& faults) {
    int selected = 0;
    for (const auto& route : routes) {
      if (faults.value("route", route->Name()) == route->Name()) {
        route->ApplyFaults(faults);
        ++selected;
      }
    }
    return selected > 0 ? JsonResponse(200, {{"routes", selected}})
                        : JsonResponse(404, {{"message", "no such route"}});
  }
};

FaultProxy::FaultProxy(net::EventLoop& loop, const FaultProxyOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {}

FaultProxy::~FaultProxy() = default;

Result<Success> FaultProxy::Start() {
  for (const auto& route : m_impl->routes) {
    Result<Success> result = route->Listen();
    if (!IsOk(result)) {
      return result;
    }
  }
  return m_impl->control.Start();
}

IpEndpoint FaultProxy::ControlEndpoint() const { return m_impl->control.LocalEndpoint(); }

IpEndpoint FaultProxy::RouteEndpoint(const std::string& name) const {
  for (const auto& route : m_impl->routes) {
    if (route->Name() == name) {
      return route->LocalEndpoint();
    }
  }
  return {};
}

}  // namespace qh::standin
