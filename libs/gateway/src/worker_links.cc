#include "quetzalhinge/gateway/worker_links.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "quetzalhinge/logging/log.h"

namespace qh::gateway {
namespace {

using dispatch::WorkerRecord;
using dispatch::WorkerStatus;
using std::chrono::milliseconds;

/** Time-out of a probe as a whole. Slower workers should not receive requests. */
constexpr milliseconds kProbeTimeout{300};

/** How long a worker is avoided after a failed probe or an unhealthy response to it. */
constexpr milliseconds kUnhealthyTime{700};

/** Maximum idle connections per worker. The number of connections in use has no limit. */
constexpr std::size_t kMaxIdleConnections = 8;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

}  // namespace

struct WorkerLinks::Impl : public std::enable_shared_from_this<WorkerLinks::Impl> {
  struct Link {
    std::vector<std::shared_ptr<http::ClientConnection>> idle;
    std::vector<ProbeCallback> probe_callbacks;
    WorkerConnection probe_connection;
  };

  net::EventLoop& loop;
  const CallHeaders& headers;
  const RecordDecoder& decoder;
  dispatch::WorkerRegistry& registry;
  const routes::RouteTable& routes;
  metrics::Counter& probes;
  metrics::Counter& new_connections;
  std::shared_ptr<http::MemoryBudget> message_memory;
  std::map<std::string, Link> links;
  /** Connections of the probes on new connections, by the number of the probe. */
  std::map<std::uint64_t, WorkerConnection> separate_probes;
  std::uint64_t separate_probe_count = 0;

  Impl(net::EventLoop& event_loop, metrics::MetricsRegistry& metrics,
       const CallHeaders& call_headers, const RecordDecoder& record_decoder,
       dispatch::WorkerRegistry& workers, const routes::RouteTable& route_table,
       std::shared_ptr<http::MemoryBudget> memory)
      : loop(event_loop),
        headers(call_headers),
        decoder(record_decoder),
        registry(workers),
        routes(route_table),
        probes(metrics.CounterOf("qh_worker_probes_total")),
        new_connections(metrics.CounterOf("qh_worker_connections_opened_total")),
        message_memory(std::move(memory)) {}

  std::shared_ptr<http::ClientConnection> OpenConnection(const WorkerRecord& worker) {
    new_connections.Add();
    http::ClientConnectionOptions options;
    options.limits.memory_budget = message_memory;
    return std::make_shared<http::ClientConnection>(loop, worker.address, options);
  }

  WorkerConnection Acquire(const std::string& id, bool force_new) {
    const WorkerStatus* worker = registry.Find(id);
    if (worker == nullptr) {
      return {};
    }
    Link& link = links[id];
    const TimePoint now = loop.Now();
    while (!link.idle.empty() && !force_new) {
      std::shared_ptr<http::ClientConnection> connection = std::move(link.idle.back());
      link.idle.pop_back();
      if (connection->IsIdle() && now < connection->IdleUntil()) {
        return {std::move(connection), worker->record};
      }
    }
    return {OpenConnection(worker->record), worker->record};
  }

  void Release(WorkerConnection worker_connection) {
    if (worker_connection.connection == nullptr || !worker_connection.connection->IsIdle()) {
      return;
    }
    const WorkerStatus* worker = registry.Find(worker_connection.worker.id);
    // Not reused if the worker has restarted or changed its address since.
    if (worker == nullptr || worker->record.address != worker_connection.worker.address ||
        worker->record.started_unix_ms != worker_connection.worker.started_unix_ms) {
      return;
    }
    Link& link = links[worker_connection.worker.id];
    if (link.idle.size() < kMaxIdleConnections) {
      link.idle.push_back(std::move(worker_connection.connection));
    }
  }

  /** Sends a probe over `worker_connection`; `done` receives whether the worker is healthy. */
  void SendProbe(const WorkerConnection& worker_connection, std::function<void(bool)> done) {
    const routes::Service* service = routes.FindService(worker_connection.worker.service);
    http::ClientRequest call;
    call.request.method = "GET";
    call.request.path = service != nullptr ? service->health_path : "/";
    call.timeout = kProbeTimeout;
    probes.Add();
    worker_connection.connection->Start(
        call, [weak = weak_from_this(), worker = worker_connection.worker,
               done = std::move(done)](const http::HttpCallResult& result) {
          // Posted, so that `done` runs when the connection is idle and the caller has returned.
          const auto self = weak.lock();
          if (self != nullptr) {
            const bool is_healthy = self->EvaluateProbe(worker, result);
            self->loop.Post([done, is_healthy] { done(is_healthy); });
          }
        });
  }

  void FinishProbe(const std::string& id, bool is_healthy) {
    Link& link = links[id];
    Release(std::exchange(link.probe_connection, {}));
    const std::vector<ProbeCallback> callbacks = std::exchange(link.probe_callbacks, {});
    for (const ProbeCallback& run : callbacks) {
      run(is_healthy);
    }
  }

  bool EvaluateProbe(const WorkerRecord& worker, const http::HttpCallResult& result) {
    WorkerStatus* status = registry.Find(worker.id);
    if (status == nullptr) {
      return false;
    }
    const TimePoint now = loop.Now();
    if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
      status->unhealthy_until = now + kUnhealthyTime;
      logging::LogDecision("worker", "probe failed",
                           {{"worker", worker.id},
                            {"peer", ToString(worker.address)},
                            {"step", failure->error.step},
                            {"detail", failure->error.detail}});
      return false;
    }
    const auto& response = std::get<http::HttpResponse>(result);
    const auto identity = http::FindHeader(response.headers, headers.worker_id);
    const bool is_other_worker = identity.has_value() && *identity != worker.id;
    RecordLoad(worker.id, response);
    if (!is_other_worker) {
      RecordLimit(*status, response, "probe");
    }
    if (response.status == kOk && !is_other_worker) {
      status->unhealthy_until = now;
      return true;
    }
    status->unhealthy_until = now + kUnhealthyTime;
    logging::LogDecision("worker", "probe refused",
                         {{"worker", worker.id},
                          {"status", std::to_string(response.status)},
                          {"identity", identity.has_value() ? std::string(*identity) : ""}});
    return false;
  }

  /** Records the limit that the worker states with a response, or that it states none. */
  void RecordLimit(const WorkerStatus& worker, const http::HttpResponse& response,
                   const char* source) {
    const auto value = http::FindHeader(response.headers, headers.worker_limit);
    const auto limit = value.has_value() ? decoder.DecodeLimit(*value) : std::nullopt;
    if (value.has_value() && !limit.has_value()) {
      logging::LogDecision("worker", "limit ignored because it is malformed",
                           {{"worker", worker.record.id}, {"value", std::string(*value)}});
      return;
    }
    if (registry.Limits().OnStated(worker.record.id, limit, loop.Now())) {
      logging::LogDecision("worker", "limit",
                           {{"worker", worker.record.id},
                            {"service", worker.record.service},
                            {"limit_per_s", limit.has_value() ? std::to_string(*limit) : "none"},
                            {"source", source}});
    }
  }

  void RecordLoad(const std::string& id, const http::HttpResponse& response) {
    const WorkerStatus* worker = registry.Find(id);
    if (worker == nullptr || response.status == kMisdirected) {
      return;
    }
    const auto value = http::FindHeader(response.headers, headers.worker_load);
    if (value.has_value()) {
      const auto report = decoder.DecodeLoad(*value);
      if (report.has_value()) {
        registry.OnReport(id, *report, loop.Now());
        return;
      }
    }
    // Without a load report, a success is taken to mean that the worker had a free slot, and any
    // other status that it has none.
    dispatch::LoadReport assumed;
    assumed.slots = worker->record.slots;
    assumed.running = response.status == kOk ? worker->in_progress : worker->record.slots;
    registry.OnReport(id, assumed, loop.Now());
  }
};

WorkerLinks::WorkerLinks(net::EventLoop& loop, metrics::MetricsRegistry& metrics,
                         const CallHeaders& headers, const RecordDecoder& decoder,
                         dispatch::WorkerRegistry& registry, const routes::RouteTable& routes,
                         std::shared_ptr<http::MemoryBudget> message_memory)
    : m_impl(std::make_shared<Impl>(loop, metrics, headers, decoder, registry, routes,
                                    std::move(message_memory))) {}
WorkerLinks::~WorkerLinks() = default;

void WorkerLinks::Probe(const std::string& id, ProbeCallback callback) {
  Impl::Link& link = m_impl->links[id];
  link.probe_callbacks.push_back(std::move(callback));
  if (link.probe_callbacks.size() > 1) {
    return;
  }
  link.probe_connection = m_impl->Acquire(id, false);
  auto finish = [weak = std::weak_ptr<Impl>(m_impl), id](bool is_healthy) {
    if (const auto impl = weak.lock()) {
      impl->FinishProbe(id, is_healthy);
    }
  };
  if (link.probe_connection.connection == nullptr) {
    m_impl->loop.Post([finish] { finish(false); });
    return;
  }
  m_impl->SendProbe(link.probe_connection, std::move(finish));
}

void WorkerLinks::ProbeOnNewConnection(const std::string& id, ProbeCallback callback) {
  const WorkerConnection worker_connection = m_impl->Acquire(id, true);
  if (worker_connection.connection == nullptr) {
    m_impl->loop.Post([callback = std::move(callback)] { callback(false); });
    return;
  }
  const std::uint64_t number = ++m_impl->separate_probe_count;
  m_impl->separate_probes.emplace(number, worker_connection);
  m_impl->SendProbe(worker_connection, [weak = std::weak_ptr<Impl>(m_impl), number,
                                        callback = std::move(callback)](bool is_healthy) {
    if (const auto impl = weak.lock()) {
      impl->separate_probes.erase(number);
    }
    callback(is_healthy);
  });
}

WorkerConnection WorkerLinks::Acquire(const std::string& id) { return m_impl->Acquire(id, false); }

void WorkerLinks::Release(WorkerConnection worker_connection) {
  m_impl->Release(std::move(worker_connection));
}

void WorkerLinks::CloseIdleConnections(const std::string& id) {
  const auto link = m_impl->links.find(id);
  if (link != m_impl->links.end()) {
    link->second.idle.clear();
  }
}

void WorkerLinks::RecordResponse(const std::string& id, const http::HttpResponse& response) {
  m_impl->RecordLoad(id, response);
  const WorkerStatus* worker = m_impl->registry.Find(id);
  if (worker != nullptr && response.status != kMisdirected) {
    m_impl->RecordLimit(*worker, response, "response");
  }
}

}  // namespace qh::gateway
