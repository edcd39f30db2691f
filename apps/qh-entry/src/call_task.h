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
 * One call from its request to its response: checks it against the contract, starts its key if it
 * may run at most once, admits it, sends it to workers and answers exactly once.
 */
class CallTask : public std::enable_shared_from_this<CallTask> {
 public:
  CallTask(CallService& service, std::shared_ptr<http::HttpExchange> exchange, CallRequest call);

  /** Starts the call. */
  void Begin();

  /** Sends the call to `worker`, which Select() has just returned. */
  void StartAttemptAt(const std::string& worker);

  /** Ends a call that waited for a worker. */
  void RefuseFromQueue(const CallError& error);

  /** Returns the call's entry in a queue. */
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
  void CancelOtherAttempts();
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
  /** Whether an attempt may have run, so that "not run" can no longer be answered. */
  bool m_may_have_run = false;
  Duration m_max_attempt_latency{};
};

}  // namespace qh::entry
