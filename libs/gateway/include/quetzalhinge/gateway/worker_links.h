#pragma once

#include <functional>
#include <memory>
#include <string>

#include "quetzalhinge/dispatch/worker_registry.h"
#include "quetzalhinge/gateway/call_headers.h"
#include "quetzalhinge/gateway/record_decoder.h"
#include "quetzalhinge/http/client_connection.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/routes/route_table.h"

namespace qh::gateway {

/** A connection to a worker, acquired from WorkerLinks for one request. */
struct WorkerConnection {
  /** Null if the worker is no longer registered. */
  std::shared_ptr<http::ClientConnection> connection;
  /** The worker's record when the connection was acquired. */
  dispatch::WorkerRecord worker;
};

/**
 * Connection pool of this VM for all workers, which also sends health probes. A probe is a request
 * to the worker's health endpoint; the response contains the worker's identifier and load. It also
 * shows that the connection works, so that a request that follows on it does not meet a dead or
 * closed connection.
 */
class WorkerLinks {
 public:
  /** Receives the result of a probe: whether the worker may receive requests. */
  using ProbeCallback = std::function<void(bool is_healthy)>;

  /**
   * All references must outlive the links.
   * @param message_memory limits the memory for responses
   */
  WorkerLinks(net::EventLoop& loop, metrics::MetricsRegistry& metrics, const CallHeaders& headers,
              const RecordDecoder& decoder, dispatch::WorkerRegistry& registry,
              const routes::RouteTable& routes, std::shared_ptr<http::MemoryBudget> message_memory);
  ~WorkerLinks();
  WorkerLinks(const WorkerLinks&) = delete;
  WorkerLinks& operator=(const WorkerLinks&) = delete;

  /**
   * Probes the worker `id` and records its load and health in the registry. Concurrent probes of
   * the same worker share one request. The callback never runs within this call.
   */
  void Probe(const std::string& id, ProbeCallback callback);

  /** Probes on a new connection, to check whether a worker still runs after a connection broke. */
  void ProbeOnNewConnection(const std::string& id, ProbeCallback callback);

  /** Returns the most recently used idle connection, or a new one if none is idle. */
  WorkerConnection Acquire(const std::string& id);

  /** Returns a connection to the pool. Closes it if it cannot be reused. */
  void Release(WorkerConnection worker_connection);

  /** Closes the idle connections to the worker `id`, after it has left or restarted. */
  void CloseIdleConnections(const std::string& id);

  /** Records what the worker `id` states about itself in `response`: its load and its limit. */
  void RecordResponse(const std::string& id, const http::HttpResponse& response);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
