#include "operator_api.h"

#include <array>
#include <string>
#include <utility>

#include "operator_json.h"
#include "quetzalhinge/auth/operator_token.h"
#include "quetzalhinge/http/http_server.h"

namespace qh::control {
namespace {

using http::HttpExchange;
using http::HttpRequest;
using Exchange = std::shared_ptr<HttpExchange>;

constexpr std::size_t kMaxBodyBytes = 256 * 1024;
constexpr std::string_view kContractsPath = "/v1/contracts/";
constexpr std::string_view kHistorySuffix = "/history";

std::string CustomerOf(std::string_view path) {
  return std::string(path.substr(kContractsPath.size()));
}

}  // namespace

struct OperatorApi::Impl {
  using Handler = void (Impl::*)(const Exchange&);

  /** Handler of a method and a fixed path. */
  struct Route {
    const char* method;
    std::string_view path;
    Handler handler;
  };

  static const std::array<Route, 5> kRoutes;

  ControlContext& context;
  OperatorBackend backend;
  auth::OperatorToken token;
  http::HttpServer server;

  Impl(ControlContext& process_context, OperatorBackend operator_backend)
      : context(process_context),
        backend(std::move(operator_backend)),
        token(context.settings.operator_token),
        server(context.loop, ServerOptions(context),
               [this](const Exchange& exchange) { Handle(exchange); }) {
    context.overload_monitor.Watch("operators", server.Connections());
  }

  static http::HttpServerOptions ServerOptions(const ControlContext& context) {
    http::HttpServerOptions options;
    options.listen = context.settings.addresses.operators;
    options.max_body_bytes = kMaxBodyBytes;
    options.memory_budget = context.message_memory;
    options.max_connections = context.capacity.others.max_connections;
    options.receive_buffer_bytes = context.capacity.others.receive_buffer_bytes;
    return options;
  }

  void Handle(const Exchange& exchange) {
    const HttpRequest& request = exchange->Request();
    const std::string_view path = http::PathOnly(request.path);
    if (path == "/metrics" && request.method == "GET") {
      backend.update_metrics();
      exchange->Respond({200,
                         {{"content-type", "text/plain; version=0.0.4"}},
                         context.metrics.PrometheusText(),
                         false});
      return;
    }
    if (!token.Accepts(http::FindHeader(request.headers, "authorization").value_or(""))) {
      context.metrics.CounterOf("qh_control_operator_refused_total").Add();
      exchange->Respond(ErrorResponse(401, "unauthorized", "a valid bearer token is required"));
      return;
    }
    context.metrics.CounterOf("qh_control_operator_requests_total").Add();
    if (path.substr(0, kContractsPath.size()) == kContractsPath) {
      HandleContract(exchange, path);
    } else {
      HandleRoute(exchange, path);
    }
  }

  void HandleRoute(const Exchange& exchange, std::string_view path) {
    bool path_known = false;
    for (const Route& route : kRoutes) {
      if (route.path == path && route.method == exchange->Request().method) {
        (this->*route.handler)(exchange);
        return;
      }
      path_known = path_known || route.path == path;
    }
    exchange->Respond(path_known ? ErrorResponse(405, "method_not_allowed", "see the interface")
                                 : ErrorResponse(404, "unknown_path", "no such path"));
  }

  void HandleContract(const Exchange& exchange, std::string_view path) {
    const std::string& method = exchange->Request().method;
    const bool is_history = path.size() > kContractsPath.size() + kHistorySuffix.size() &&
                            path.substr(path.size() - kHistorySuffix.size()) == kHistorySuffix;
    if (is_history) {
      path.remove_suffix(kHistorySuffix.size());
    }
    const std::string customer = CustomerOf(path);
    if (!contract::IsContractName(customer)) {
      exchange->Respond(ErrorResponse(404, "unknown_customer", "not a customer's name"));
    } else if (method == "GET") {
      is_history ? GetHistory(exchange, customer) : GetContract(exchange, customer);
    } else if ((method == "PUT" || method == "DELETE") && !is_history) {
      ChangeContract(exchange, customer);
    } else {
      exchange->Respond(ErrorResponse(405, "method_not_allowed", "see the interface"));
    }
  }

  void ChangeContract(const Exchange& exchange, const std::string& customer) {
    auto parsed = ParseCommand(exchange->Request().method, customer, exchange->Request().body);
    if (auto* refusal = std::get_if<http::HttpResponse>(&parsed)) {
      exchange->Respond(std::move(*refusal));
      return;
    }
    backend.contracts.Submit(
        std::move(std::get<ContractCommand>(parsed)),
        [exchange](const CommandResult& result) { exchange->Respond(ToResponse(result)); });
  }

  void ListContracts(const Exchange& exchange) {
    exchange->Respond(JsonResponse(200, ContractListJson(backend.contracts.Book())));
  }

  void GetContract(const Exchange& exchange, const std::string& customer) {
    const contract::ContractChange* change = backend.contracts.Book().FindChange(customer);
    exchange->Respond(change == nullptr
                          ? ErrorResponse(404, "unknown_customer", "the customer has no contract")
                          : JsonResponse(200, contract::ToJson(*change)));
  }

  void GetHistory(const Exchange& exchange, const std::string& customer) {
    backend.platform.ReadHistory(customer, [exchange](const auto& changes) {
      if (!IsOk(changes)) {
        exchange->Respond(ErrorResponse(503, "platform_unavailable", ToString(ErrorOf(changes))));
        return;
      }
      nlohmann::json list = nlohmann::json::array();
      for (const contract::ContractChange& change : ValueOf(changes)) {
        list.push_back(contract::ToJson(change));
      }
      exchange->Respond(JsonResponse(200, {{"changes", std::move(list)}}));
    });
  }

  void GetStatus(const Exchange& exchange) {
    exchange->Respond(JsonResponse(200, StatusJson(context, backend.contracts.Book(), backend.entry,
                                                   backend.gossip.Members())));
  }

  void GetWorkers(const Exchange& exchange) {
    exchange->Respond(
        JsonResponse(200, WorkersJson(backend.workers.value_or(std::vector<platform::VmRecord>{}),
                                      backend.gossip.Notices())));
  }

  void Drain(const Exchange& exchange) {
    const auto body = nlohmann::json::parse(exchange->Request().body.Bytes(), nullptr, false);
    if (!body.is_object() || body.value("vm", nlohmann::json()) != context.settings.name) {
      exchange->Respond(ErrorResponse(422, "wrong_vm", "this is VM " + context.settings.name));
      return;
    }
    exchange->Respond(JsonResponse(202, {{"draining", true}, {"vm", context.settings.name}}));
    context.loop.Post(backend.begin_drain);
  }

  void GetTimeline(const Exchange& exchange) {
    const timeline::EventFilter filter = ParseEventFilter(exchange->Request().path);
    context.kj_loop.Detach(
        backend.entry.Timeline(ToJsonText(filter))
            .then([this, exchange, filter](const kj::String& entry_events) {
              exchange->Respond(JsonResponse(
                  200, TimelineJson(context.events.Select(filter), entry_events.cStr())));
            }));
  }
};

const std::array<OperatorApi::Impl::Route, 5> OperatorApi::Impl::kRoutes{{
    {"GET", "/v1/contracts", &Impl::ListContracts},
    {"GET", "/v1/status", &Impl::GetStatus},
    {"GET", "/v1/workers", &Impl::GetWorkers},
    {"POST", "/v1/drain", &Impl::Drain},
    {"GET", "/v1/timeline", &Impl::GetTimeline},
}};

OperatorApi::OperatorApi(ControlContext& context, OperatorBackend backend)
    : m_impl(std::make_unique<Impl>(context, std::move(backend))) {}
OperatorApi::~OperatorApi() = default;

Result<Success> OperatorApi::Start() { return m_impl->server.Start(); }

}  // namespace qh::control
