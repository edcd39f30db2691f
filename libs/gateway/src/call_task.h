#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quetzalhinge/gateway/attempt_verdict.h"
#include "quetzalhinge/gateway/call_service.h"
#include "quetzalhinge/gateway/retry_advice.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {

/** Parameters of a call, which follow from the request and its route. */
struct CallParameters {
  routes::Route route;
  std::string service;
  std::string request_id;
  std::uint64_t configuration_version = 0;
  TimePoint started_at{};
  /** The earlier of the deadlines of the caller and of the route. */
  TimePoint deadline{};
  quarantine::Fingerprint fingerprint = 0;
};

/**
 * Handles one request: picks a worker, sends the request, retries or hedges it where the route
 * allows that, and responds to the caller once. Keeps itself alive until it has responded.
 */
class CallTask : public std::enable_shared_from_this<CallTask> {
 public:
  CallTask(CallContext& context, std::shared_ptr<http::ServerExchange> exchange,
           CallParameters parameters);
  ~CallTask();
  CallTask(const CallTask&) = delete;
  CallTask& operator=(const CallTask&) = delete;

  /** Starts the task, which must be owned by a shared_ptr. */
  void Start();

  /**
   * Responds now because the process stops: with a refusal if the request was never sent to a
   * worker. No effect once the task has responded.
   */
  void RespondBeforeStop();

 private:
  /** One attempt at one worker. */
  struct Attempt {
    WorkerConnection worker_connection;
    /** Whether a fresh load report showed free slots when the request was sent. */
    bool had_free_slots = false;
    bool in_progress = true;
  };

  void PickWorker();
  void Probe(const dispatch::Pick& pick);
  void OnProbeEnded(int round, bool is_healthy);
  void WaitForFreeSlot(const dispatch::Pick& pick);
  void Send(const dispatch::Pick& pick);
  http::ClientRequest RequestFor(const dispatch::WorkerRecord& worker) const;
  void OnAttemptEnded(std::size_t index, const http::HttpCallResult& result);
  void EndAttempt(Attempt& attempt, bool connection_broken, bool succeeded);
  void ContinueAfterFailure();
  bool MayRetry() const;
  void StartHedge();
  void AbandonHedge();
  void OnDeadline();
  void OnCallerDisconnected();
  void RespondWithWorkerResponse(const http::HttpResponse& response, const char* reason);
  void RespondWithFailure(const char* reason);
  void RespondWithRefusal(const char* reason);
  void Finish(const http::HttpResponse& response, const char* reason);
  void CancelAttempts();
  bool HasAttemptInProgress() const;
  Duration TimeLeft() const;
  std::string MillisSinceStart() const;

  CallContext& m_context;
  std::shared_ptr<http::ServerExchange> m_exchange;
  CallParameters m_parameters;
  dispatch::PickRequest m_pick_request;
  std::set<std::string> m_probed_workers;
  std::vector<Attempt> m_attempts;
  /** A worker's failure response, which is forwarded if no retry succeeds. */
  std::optional<http::HttpResponse> m_failure_response;
  int m_round = 0;
  int m_probes_outstanding = 0;
  bool m_picking = false;
  /** Whether the worker is picked for a hedged request, which needs a fast and free worker. */
  bool m_picking_hedge = false;
  bool m_may_have_run = false;
  /** Cause that is reported if the request is refused now. */
  RefusalCause m_refusal_cause = RefusalCause::kNoFreeSlots;
  /** Time until a worker's limit allowed this VM a request; only for kWorkerLimits. */
  Duration m_limit_wait{};
  bool m_deadline_passed = false;
  bool m_finished = false;
  net::Timer m_pick_timer;
  net::Timer m_deadline_timer;
  net::Timer m_hedge_timer;
  /** Keeps the task alive until it has responded. */
  std::shared_ptr<CallTask> m_self;
};

}  // namespace qh::gateway
