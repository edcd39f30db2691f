#include "quetzalhinge/standin/standin_worker_group.h"

#include <string>
#include <utility>

#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {
namespace {

using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;

constexpr std::size_t kMaxControlBytes = 64 * 1024;

bool IsSelected(const StandinWorker& worker, const json& faults) {
  const StandinWorkerOptions& options = worker.Options();
  return faults.value("worker", options.name) == options.name &&
         faults.value("service", options.service) == options.service;
}

}  // namespace

struct StandinWorkerGroup::Impl {
  std::vector<std::unique_ptr<StandinWorker>> workers;
  http::HttpServer control;

  Impl(net::EventLoop& loop, const StandinWorkerGroupOptions& options)
      : control(loop, {options.control, kMaxControlBytes, std::chrono::seconds(10)},
                [this](const std::shared_ptr<http::HttpExchange>& exchange) {
                  exchange->Respond(HandleControl(exchange->Request()));
                }) {
    for (const StandinWorkerOptions& worker : options.workers) {
      workers.push_back(std::make_unique<StandinWorker>(loop, worker));
    }
  }

  HttpResponse HandleControl(const HttpRequest& request) {
    if (request.method == "GET" && request.path == "/standin/executions") {
      return JsonResponse(200, {{"executions", TotalExecutions()}});
    }
    if (request.method == "GET" && request.path == "/standin/state") {
      json states = json::array();
      for (const auto& worker : workers) {
        states.push_back(worker->State());
      }
      return JsonResponse(200, {{"workers", states}});
    }
    if (request.method == "POST" && request.path == "/standin/faults") {
      return WithJsonObject(request.body,
                            [&](const json& body) { return ApplyFaultsToSelected(body); });
    }
    return JsonResponse(404, {{"message", "no such control path"}});
  }

  ExecutionCounts TotalExecutions() const {
    ExecutionCounts total;
    for (const auto& worker : workers) {
      for (const auto& [key, count] : worker->Executions()) {
        total[key] += count;
      }
    }
    return total;
  }

  HttpResponse ApplyFaultsToSelected(const json& faults) {
    int selected = 0;
    for (const auto& worker : workers) {
      if (IsSelected(*worker, faults)) {
        worker->ApplyFaults(faults);
        ++selected;
      }
    }
    return selected > 0 ? JsonResponse(200, {{"workers", selected}})
                        : JsonResponse(404, {{"message", "no such worker"}});
  }
};

StandinWorkerGroup::StandinWorkerGroup(net::EventLoop& loop,
                                       const StandinWorkerGroupOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {}

StandinWorkerGroup::~StandinWorkerGroup() = default;

Result<Success> StandinWorkerGroup::Start() {
  for (const auto& worker : m_impl->workers) {
    Result<Success> result = worker->Start();
    if (!IsOk(result)) {
      return result;
    }
  }
  return m_impl->control.Start();
}

IpEndpoint StandinWorkerGroup::ControlEndpoint() const { return m_impl->control.LocalEndpoint(); }

const std::vector<std::unique_ptr<StandinWorker>>& StandinWorkerGroup::Workers() const noexcept {
  return m_impl->workers;
}

}  // namespace qh::standin
