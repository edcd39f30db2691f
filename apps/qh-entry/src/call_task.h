#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "call_service.h"
#include "quetzalhinge/retries/hedge_policy.h"
#include "quetzalhinge/retries/retry_policy.h"

namespace qh::entry {

/**
 * Processes one call from its request to its response: checks it against the contract, starts its
 * idempotency key if it may run at most once, applies the customer's limits, sends it to workers
 * and responds exactly once.
 */
class CallTask : public std::enable_shared_from_this<CallTask> {
 public:
  CallTask(CallService& service, std::shared_ptr<http::HttpExchange> exchange, CallRequest call);

  /** Starts the call. */
  void Begin();

  /** Starts an attempt at `worker`, which WorkerPool::Select() has just returned. */
  void StartAttemptAt(const std::string& worker);

  /**
   * Ends a call that left the queue without a worker. Responds with `error`, or with
   * deadline_exceeded if an earlier attempt may have run.
   */
  void RefuseFromQueue(const CallError& error);

  /**
   * Ends a call that is still open when the process stops. The outcome is unknown if a worker may
   * have run the request; otherwise the call is refused.
   */
  void RespondBeforeStop();

  /** Returns the entry of the call for an AdmissionQueue. */
  limits::QueuedRequest ToQueuedRequest() const;

  const std::string& Service() const noexcept { return m_call.service; }
  routing::WorkClass WorkClass() const noexcept { return m_profile.work_class; }

 private:
  void BeginKey();
  void CheckAndStart();
  std::optional<CallError> CheckContract();
  std::optional<CallError> CheckQuarantine() const;
  void OnKeyDecision(const KeyDecision& decision);
  void AdmitAndStart();
  void StartOrWait();
  http::HttpRequest MakeWorkerRequest() const;
  std::chrono::milliseconds AttemptTimeout();
  void ScheduleHedge();
  void StartHedge();
  retries::HedgeCandidate ToHedgeCandidate() const;
  void OnAttemptEnd(const std::string& worker, const AttemptResult& result);
  void CancelAttempts();
  void ForwardResponse(const AttemptResult& result);
  void RetryOrFail(const AttemptResult& result);
  CallError ErrorOfAttempt(const AttemptResult& result) const;
  void Fail(const CallError& error);
  void FinishKey(Outcome outcome, const http::HttpResponse& response);
  void SendResponse(http::HttpResponse response, Outcome outcome, const char* code);

  CallService& m_service;
  CallContext& m_context;
  std::shared_ptr<http::HttpExchange> m_exchange;
  CallRequest m_call;
  std::string m_request_id;
  TimePoint m_started;
  TimePoint m_deadline;
  std::shared_ptr<const contract::Contract> m_contract;
  bool m_idempotent = false;
  bool m_admitted = false;
  routing::Route m_route;
  routing::RouteProfile m_profile;
  std::optional<idempotency::KeyTicket> m_ticket;
  std::vector<std::string> m_tried_workers;
  /** Attempts started so far, hedges included. */
  std::uint32_t m_attempts = 0;
  /** An attempt in progress. */
  struct RunningAttempt {
    std::string worker;
    std::uint64_t number;
  };
  std::vector<RunningAttempt> m_running_attempts;
  std::unique_ptr<net::Timer> m_hedge_timer;
  /** Whether an attempt may have run; the outcome must then not be reported as "not run". */
  bool m_may_have_run = false;
  /** Whether the state of the key is being resolved at the VM that holds it. */
  bool m_resolving_key = false;
  bool m_ended = false;
  /** Excluded from the latency that this VM adds to the call (qh_call_added_seconds). */
  Duration m_max_attempt_latency{};
};

}  // namespace qh::entry
