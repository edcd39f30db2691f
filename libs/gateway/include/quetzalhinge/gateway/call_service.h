#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/dispatch/worker_picker.h"
#include "quetzalhinge/dispatch/worker_registry.h"
#include "quetzalhinge/gateway/call_headers.h"
#include "quetzalhinge/gateway/crash_watch.h"
#include "quetzalhinge/gateway/retry_budgets.h"
#include "quetzalhinge/gateway/worker_links.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/routes/route_table.h"

namespace qh::gateway {

class CallTask;

/** Objects shared by all calls of the process. Must outlive the calls. */
struct CallContext {
  /** Availability zone of this VM. */
  std::string zone;
  net::EventLoop& loop;
  RandomGenerator& random;
  metrics::MetricsRegistry& metrics;
  const CallHeaders& headers;
  routes::RouteTable& routes;
  dispatch::WorkerRegistry& registry;
  dispatch::WorkerPicker& picker;
  WorkerLinks& worker_links;
  CrashWatch& crash_watch;
  RetryBudgets& budgets;
};

/** Handles callers' requests: finds the route and starts a CallTask for each accepted request. */
class CallService {
 public:
  /** The context must outlive the service. */
  explicit CallService(CallContext& context);
  ~CallService();
  CallService(const CallService&) = delete;
  CallService& operator=(const CallService&) = delete;

  /** Handles a request and responds to it exactly once, possibly after this call has returned. */
  void Handle(std::shared_ptr<http::ServerExchange> exchange);

  /** Sets the callback for requests that arrive before a configuration is available. */
  void OnMissingConfiguration(std::function<void()> callback);

  /** Refuses all further requests; requests in progress continue. */
  void RefuseNewCalls();

  /** Responds to all requests in progress, because the process stops. */
  void RespondBeforeStop();

 private:
  CallContext& m_context;
  void Track(const std::shared_ptr<CallTask>& call);

  /** Calls in progress, and some that have ended since. */
  std::vector<std::weak_ptr<CallTask>> m_calls;
  /** Length of `m_calls` at which the calls that have ended are dropped from it. */
  std::size_t m_max_calls;
  std::function<void()> m_on_missing_configuration;
  bool m_refuse_new_calls = false;
};

}  // namespace qh::gateway
