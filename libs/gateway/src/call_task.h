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

/** A request on its way, as far as its route and caller have set its terms. */
struct CallParameters {
  routes::Route route;
  std::string service;
  std::string request_id;
  std::uint64_t configuration_version = 0;
  TimePoint started_at{};
  /** The earlier of the caller's and the route's. */
  TimePoint deadline{};
  quarantine::Fingerprint fingerprint = 0;
};

/**
 * One request from its arrival to its answer: picks a worker, sends, repeats where that is allowed,
 * and answers once. Keeps itself alive until it has answered.
 */
class CallTask : public std::enable_shared_from_this<CallTask> {
 public:
  CallTask(CallContext& context, std::shared_ptr<http::ServerExchange> exchange,
           CallParameters parameters);
  ~CallTask();
  CallTask(const CallTask&) = delete;
  CallTask& operator=(const CallTask&) = delete;

  /** Starts; the task lives on by the callbacks that it waits for. */
  void Start();

 private:
  /** One sending to one worker. */
  struct Attempt {
    WorkerConnection worker_connection;
    /** The worker had free slots by a fresh report when the request was sent. */
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
  /** A worker's failure response, kept in case no repeat does better. */
  std::optional<http::HttpResponse> m_failure_response;
  int m_round = 0;
  int m_probes_outstanding = 0;
  bool m_picking = false;
  /** The present pick is for a second opinion: only a fast and free worker will do. */
  bool m_picking_hedge = false;
  bool m_may_have_run = false;
  /** The last attempt was refused by a worker that had free slots. */
  /** Why the request would be refused now. */
  RefusalCause m_refusal_cause = RefusalCause::kNoFreeSlots;
  bool m_deadline_passed = false;
  bool m_finished = false;
  net::Timer m_pick_timer;
  net::Timer m_deadline_timer;
  net::Timer m_hedge_timer;
  /** Holds the task until it has answered. */
  std::shared_ptr<CallTask> m_self;
};

}  // namespace qh::gateway
