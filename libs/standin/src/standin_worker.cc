#include "quetzalhinge/standin/standin_worker.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <list>
#include <optional>
#include <utility>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/standin/answer_check.h"
#include "quetzalhinge/standin/delayed_tasks.h"
#include "quetzalhinge/standin/json_http.h"
#include "worker_faults.h"

namespace qh::standin {
namespace {

using http::HttpExchange;
using http::HttpRequest;
using http::HttpResponse;
using nlohmann::json;
using std::chrono::milliseconds;
using ExchangePtr = std::shared_ptr<HttpExchange>;

constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;
constexpr milliseconds kRequestTimeout{600000};
/** Interval of the check for running requests whose caller has closed the connection. */
constexpr milliseconds kCancelCheckInterval{10};
/** Exit status of a crash: what a shell reports after abort(), 128 + SIGABRT. */
constexpr int kCrashExitStatus = 134;

std::string HeaderOr(const HttpRequest& request, const char* name, const char* fallback) {
  return std::string(http::FindHeader(request.headers, name).value_or(fallback));
}

std::string ExecutionKey(const HttpRequest& request) {
  const std::string key = HeaderOr(request, "idempotency-key", "");
  return key.empty() ? HeaderOr(request, "x-qh-request-id", "") : key;
}

std::optional<milliseconds> RemainingTime(const HttpRequest& request) {
  const std::string text = HeaderOr(request, "x-qh-deadline-ms", "");
  std::int64_t remaining = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), remaining);
  return error == std::errc() ? std::optional(milliseconds(remaining)) : std::nullopt;
}

/** Returns the path within the service: without "/svc/<service>" if the entry VM forwards it. */
std::string_view ServicePath(std::string_view path, const std::string& service) {
  const std::string prefix = "/svc/" + service;
  return path.starts_with(prefix) ? path.substr(prefix.size()) : path;
}

/** A request that occupies a slot. */
struct RunningRequest {
  ExchangePtr exchange;
  std::uint64_t timer = 0;
};

/** A request that is queued for a slot. */
struct WaitingRequest {
  ExchangePtr exchange;
  std::optional<TimePoint> deadline;
};

}  // namespace

struct StandinWorker::Impl {
  net::EventLoop& loop;
  StandinWorkerOptions options;
  ServiceTimes times;
  std::unique_ptr<http::HttpServer> server;
  IpEndpoint endpoint;
  DelayedTasks delayed_tasks;
  net::Timer cancel_check;
  RandomGenerator generator;
  WorkerFaults faults;
  TimePoint up_since;
  std::list<RunningRequest> running;
  std::deque<WaitingRequest> waiting;
  /** Requests that are never answered. */
  std::vector<ExchangePtr> unanswered;
  ExecutionCounts executions;
  std::uint64_t started = 0;
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;
  std::optional<TimePoint> draining_since;
  std::int64_t last_start_after_drain_ms = -1;

  Impl(net::EventLoop& event_loop, StandinWorkerOptions worker_options)
      : loop(event_loop),
        options(std::move(worker_options)),
        times(options.routes),
        endpoint(options.listen),
        delayed_tasks(event_loop),
        cancel_check(event_loop, [this] { RemoveCancelled(); }),
        generator(options.seed ^ HashBytes(options.name)),
        up_since(event_loop.Now()) {}

  Result<Success> Listen() {
    server = std::make_unique<http::HttpServer>(
        loop, http::HttpServerOptions{endpoint, kMaxBodyBytes, kRequestTimeout},
        [this](ExchangePtr exchange) { OnRequest(std::move(exchange)); });
    const Result<Success> result = server->Start();
    if (IsOk(result)) {
      endpoint = server->LocalEndpoint();
      up_since = loop.Now();
      cancel_check.StartRepeating(kCancelCheckInterval);
    }
    return result;
  }

  void OnRequest(ExchangePtr exchange) {
    const HttpRequest& request = exchange->Request();
    const std::string_view path = http::PathOnly(request.path);
    if (path.starts_with("/standin/")) {
      HandleControl(*exchange);
    } else if (faults.silent) {
      unanswered.push_back(std::move(exchange));
    } else if (path == "/health") {
      exchange->Respond(Health());
    } else {
      Admit(std::move(exchange));
    }
  }

  void Admit(ExchangePtr exchange) {
    if (server->OpenConnections() > options.max_connections) {
      Shed(*exchange, "too many connections", true);
    } else if (faults.drain && faults.drain_refuses) {
      Shed(*exchange, "draining", false);
    } else if (running.size() < static_cast<std::size_t>(options.slots)) {
      StartRequest(std::move(exchange));
    } else if (waiting.size() < static_cast<std::size_t>(options.queue_length)) {
      const auto remaining = RemainingTime(exchange->Request());
      waiting.push_back({std::move(exchange), remaining.has_value()
                                                  ? std::optional(loop.Now() + *remaining)
                                                  : std::nullopt});
    } else {
      Shed(*exchange, "no free slot", false);
    }
  }

  void Shed(HttpExchange& exchange, const char* reason, bool close) {
    ++shed;
    HttpResponse response = JsonResponse(503, {{"message", reason}});
    response.headers.push_back({"x-qh-not-run", "1"});
    response.close_connection = close;
    SendResponse(exchange, std::move(response));
  }

  void StartRequest(ExchangePtr exchange) {
    const HttpRequest& request = exchange->Request();
    ++executions[ExecutionKey(request)];
    ++started;
    if (draining_since.has_value()) {
      last_start_after_drain_ms = ToMillis(loop.Now() - *draining_since);
    }
    if (!options.crash_marker.empty() &&
        request.body.Bytes().find(options.crash_marker) != std::string::npos) {
      running.push_back({std::move(exchange), 0});
      Crash("request holds the crash marker");
      return;
    }
    if (faults.fail_fast) {
      SendResponse(*exchange, JsonResponse(500, {{"message", "failing"}}));
      return;
    }
    const auto service_time = times.Sample(ServicePath(request.path, options.service), generator) *
                              faults.ServiceFactor(loop.Now() - up_since);
    const auto entry = running.insert(running.end(), {std::move(exchange), 0});
    entry->timer = delayed_tasks.Start(std::chrono::round<milliseconds>(service_time),
                                       [this, entry] { FinishRequest(entry); });
  }

  void FinishRequest(std::list<RunningRequest>::iterator entry) {
    const ExchangePtr exchange = std::move(entry->exchange);
    running.erase(entry);
    const HttpRequest& request = exchange->Request();
    HttpResponse response{200, {{"content-type", "application/json"}}, "", false};
    response.body = MakeResponseBody({options.name, HeaderOr(request, "x-qh-request-id", ""),
                                      std::string(QueryOf(request.path)), std::string(request.body),
                                      options.padding_bytes});
    if (faults.cut_answers != 0) {
      faults.cut_answers -= faults.cut_answers > 0 ? 1 : 0;
      RespondTruncated(*exchange, response);
    } else {
      SendResponse(*exchange, std::move(response));
    }
    StartQueued();
  }

  void RespondTruncated(HttpExchange& exchange, const HttpResponse& response) const {
    exchange.Abort("HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(response.body.size()) +
                   "\r\nx-qh-request-id: " + HeaderOr(exchange.Request(), "x-qh-request-id", "") +
                   "\r\n\r\n" +
                   std::string(response.body.Bytes().substr(0, response.body.size() / 2)));
  }

  void StartQueued() {
    while (!waiting.empty() && running.size() < static_cast<std::size_t>(options.slots)) {
      WaitingRequest next = std::move(waiting.front());
      waiting.pop_front();
      if (!next.exchange->IsConnected()) {
        ++cancelled;
      } else if (next.deadline.has_value() && *next.deadline <= loop.Now()) {
        Shed(*next.exchange, "deadline passed in the queue", false);
      } else {
        StartRequest(std::move(next.exchange));
      }
    }
  }

  /** Removes running requests whose caller has closed the connection, and frees their slots. */
  void RemoveCancelled() {
    for (auto entry = running.begin(); entry != running.end();) {
      if (!entry->exchange->IsConnected()) {
        ++cancelled;
        delayed_tasks.Cancel(entry->timer);
        entry = running.erase(entry);
      } else {
        ++entry;
      }
    }
    StartQueued();
  }

  void SendResponse(HttpExchange& exchange, HttpResponse response) const {
    const std::string request_id = HeaderOr(exchange.Request(), "x-qh-request-id", "");
    if (!request_id.empty()) {
      response.headers.push_back({"x-qh-request-id", request_id});
    }
    response.headers.push_back({"x-qh-load", std::to_string(running.size() + waiting.size()) + "/" +
                                                 std::to_string(options.slots)});
    if (faults.drain) {
      response.headers.push_back({"x-qh-draining", "1"});
    }
    exchange.Respond(std::move(response));
  }

  HttpResponse Health() const {
    if (faults.wrong_health) {
      return JsonResponse(200, {{"state", "live"}, {"in_progress", 0}, {"slots", options.slots}});
    }
    if (faults.drain) {
      return JsonResponse(503, {{"state", "draining"}});
    }
    return JsonResponse(200, {{"state", "live"},
                              {"in_progress", running.size() + waiting.size()},
                              {"slots", options.slots}});
  }

  void HandleControl(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.method == "GET" && request.path == "/standin/executions") {
      exchange.Respond(JsonResponse(200, {{"executions", executions}}));
    } else if (request.method == "GET" && request.path == "/standin/state") {
      exchange.Respond(JsonResponse(200, State()));
    } else if (request.method == "POST" && request.path == "/standin/faults") {
      exchange.Respond(WithJsonObject(request.body, [&](const json& body) {
        ApplyFaults(body);
        return JsonResponse(200, json::object());
      }));
    } else {
      exchange.Respond(JsonResponse(404, {{"message", "no such control path"}}));
    }
  }

  json State() const {
    return {{"name", options.name},
            {"service", options.service},
            {"running", running.size()},
            {"waiting", waiting.size()},
            {"started", started},
            {"shed", shed},
            {"cancelled", cancelled},
            {"connections", server->OpenConnections()},
            {"last_start_after_drain_ms", last_start_after_drain_ms}};
  }

  void ApplyFaults(const json& changes) {
    faults.Read(changes);
    if (changes.contains("cold_ms")) {
      up_since = loop.Now();
    }
    if (faults.drain != draining_since.has_value()) {
      draining_since = faults.drain ? std::optional(loop.Now()) : std::nullopt;
      last_start_after_drain_ms = -1;
    }
    logging::LogChange("worker", "switch faults",
                       {{"worker", options.name}, {"faults", changes.dump()}});
    if (changes.value("crash", false)) {
      // Delayed, because a crash also closes the connection that the control response is sent on.
      delayed_tasks.Start(milliseconds(1), [this] { Crash("requested by fault control"); });
    }
  }

  void Crash(const char* reason) {
    logging::LogChange("worker", "crash", {{"worker", options.name}, {"reason", reason}});
    if (options.crash_exits) {
      std::_Exit(kCrashExitStatus);
    }
    server->AbortConnections();
    server->StopAccepting();
    delayed_tasks.Clear();
    // Destroying an exchange calls back into the server, which is not allowed from within the
    // server's request handler. The loop destroys them later.
    auto lost_running = std::make_shared<std::list<RunningRequest>>(std::move(running));
    auto lost_waiting = std::make_shared<std::deque<WaitingRequest>>(std::move(waiting));
    running.clear();
    waiting.clear();
    loop.Post([lost_running, lost_waiting] {});
    if (faults.restart_after_ms > 0) {
      delayed_tasks.Start(milliseconds(faults.restart_after_ms), [this] { Restart(); });
    }
  }

  void Restart() {
    const Result<Success> result = Listen();
    if (IsOk(result)) {
      logging::LogChange("worker", "restart", {{"worker", options.name}});
    } else {
      logging::LogError("worker", ErrorOf(result));
    }
  }
};

StandinWorker::StandinWorker(net::EventLoop& loop, const StandinWorkerOptions& options)
    : m_impl(std::make_unique<Impl>(loop, options)) {}

StandinWorker::~StandinWorker() = default;

Result<Success> StandinWorker::Start() { return m_impl->Listen(); }

IpEndpoint StandinWorker::LocalEndpoint() const { return m_impl->endpoint; }

const StandinWorkerOptions& StandinWorker::Options() const noexcept { return m_impl->options; }

void StandinWorker::ApplyFaults(const json& faults) { m_impl->ApplyFaults(faults); }

const ExecutionCounts& StandinWorker::Executions() const noexcept { return m_impl->executions; }

json StandinWorker::State() const { return m_impl->State(); }

}  // namespace qh::standin
