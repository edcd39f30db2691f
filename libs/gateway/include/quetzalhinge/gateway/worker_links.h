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

/** A connection lent for one request to a worker. */
struct WorkerConnection {
  /** Null if the worker is not known any more. */
  std::shared_ptr<http::ClientConnection> connection;
  /** The worker as of the lending. */
  dispatch::WorkerRecord worker;
};

/**
 * The connections of this VM to all workers, and the probes over them. A probe asks the health
 * endpoint; its response tells the worker's identity and load, and shows that its connection works:
 * a request that follows on it meets neither a silent connection nor one that the worker has
 * closed.
 */
class WorkerLinks {
 public:
  /** Called with whether the probed worker may get requests. */
  using ProbeCallback = std::function<void(bool is_healthy)>;

  /** All arguments must outlive the links. */
  WorkerLinks(net::EventLoop& loop, metrics::MetricsRegistry& metrics, const CallHeaders& headers,
              const RecordDecoder& decoder, dispatch::WorkerRegistry& registry,
              const routes::RouteTable& routes);
  ~WorkerLinks();
  WorkerLinks(const WorkerLinks&) = delete;
  WorkerLinks& operator=(const WorkerLinks&) = delete;

  /**
   * Probes the worker `id` and records what it answers in the registry. Callers that ask while a
   * probe of the worker is under way share its answer. The callback never runs within this call.
   */
  void Probe(const std::string& id, ProbeCallback callback);

  /** Probes on a new connection: whether the worker still runs after a connection to it broke. */
  void ProbeOnNewConnection(const std::string& id, ProbeCallback callback);

  /** Lends a connection, the one that was last used if there is an idle one. */
  WorkerConnection Acquire(const std::string& id);

  /** Takes a connection back; it is kept if it may be used again. */
  void Release(WorkerConnection worker_connection);

  /** Closes the idle connections to `id`, whose worker has ended or was started anew. */
  void CloseIdleConnections(const std::string& id);

  /** Records the load that `response` of the worker `id` tells. */
  void RecordLoad(const std::string& id, const http::HttpResponse& response);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace qh::gateway
