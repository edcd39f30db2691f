#include "quetzalhinge/gateway/call_service.h"

#include <algorithm>
#include <utility>

#include "call_task.h"
#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/retries/deadline.h"

namespace qh::gateway {
namespace {

/** Value of retry-after in refusals for the reason that this VM cannot serve the request. */
constexpr const char* kRetryAfterSeconds = "0.25";

constexpr std::size_t kMinTrackedCalls = 64;

http::HttpResponse Refusal(int status, const CallHeaders& headers, const std::string& request_id) {
  http::HttpResponse response;
  response.status = status;
  if (!request_id.empty()) {
    response.headers.push_back({headers.request_id, request_id});
  }
  if (status == 503) {
    response.headers.push_back({"retry-after", kRetryAfterSeconds});
  }
  return response;
}

std::string HeaderOrEmpty(const http::HttpHeaders& headers, const std::string& name) {
  const auto value = http::FindHeader(headers, name);
  return value.has_value() ? std::string(*value) : std::string();
}

}  // namespace

CallService::CallService(CallContext& context)
    : m_context(context), m_max_calls(kMinTrackedCalls) {}
CallService::~CallService() = default;

void CallService::OnMissingConfiguration(std::function<void()> callback) {
  m_on_missing_configuration = std::move(callback);
}

void CallService::RefuseNewCalls() { m_refuse_new_calls = true; }

void CallService::RespondBeforeStop() {
  for (const std::weak_ptr<CallTask>& tracked : std::exchange(m_calls, {})) {
    if (const auto call = tracked.lock()) {
      call->RespondBeforeStop();
    }
  }
}

void CallService::Track(const std::shared_ptr<CallTask>& call) {
  if (m_calls.size() >= m_max_calls) {
    std::erase_if(m_calls, [](const auto& tracked) { return tracked.expired(); });
    m_max_calls = std::max(kMinTrackedCalls, 2 * m_calls.size());
  }
  m_calls.push_back(call);
}

void CallService::Handle(std::shared_ptr<http::ServerExchange> exchange) {
  const http::HttpRequest& request = exchange->Request();
  const CallHeaders& names = m_context.headers;
  const std::string request_id = HeaderOrEmpty(request.headers, names.request_id);
  const auto refuse = [&](int status, const char* reason) {
    logging::LogDecision(
        "call", "refused",
        {{"request", request_id},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"configuration", std::to_string(m_context.routes.Configuration().version)}});
    m_context.metrics.CounterOf("qh_calls_total", "status=\"" + std::to_string(status) + "\"")
        .Add();
    exchange->Respond(Refusal(status, names, request_id));
  };
  if (m_refuse_new_calls) {
    return refuse(503, "stopping");
  }
  if (!m_context.routes.HasConfiguration()) {
    if (m_on_missing_configuration != nullptr) {
      m_on_missing_configuration();
    }
    return refuse(503, "no configuration available yet");
  }
  if (http::CountHeaders(request.headers, names.request_id) != 1 ||
      http::CountHeaders(request.headers, "host") != 1) {
    return refuse(400, "request id or host header missing or duplicated");
  }
  const std::string host = HeaderOrEmpty(request.headers, "host");
  const routes::Route* route = m_context.routes.Find(host, http::PathOnly(request.path));
  if (route == nullptr) {
    return refuse(404, "no route");
  }
  CallParameters parameters;
  parameters.route = *route;
  parameters.service = m_context.routes.NextService(*route);
  parameters.request_id = request_id;
  parameters.configuration_version = m_context.routes.Configuration().version;
  parameters.started_at = m_context.loop.Now();
  parameters.deadline = retries::DeadlineOf(
      parameters.started_at, route->timeout,
      retries::ParseTimeLeft(HeaderOrEmpty(request.headers, names.time_left_ms)));
  parameters.fingerprint = HashParts({host, request.method, request.path, request.body});
  if (m_context.crash_watch.QuarantineLeft(parameters.fingerprint).has_value()) {
    return refuse(503, "request quarantined because it crashed workers");
  }
  const auto call =
      std::make_shared<CallTask>(m_context, std::move(exchange), std::move(parameters));
  Track(call);
  call->Start();
}

}  // namespace qh::gateway
