#include "call_task.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/retries/deadline.h"

namespace qh::entry {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** Part of the remaining time that is reserved for the network between this VM and the worker. */
constexpr milliseconds kHopAllowance{1};

const retries::RetryPolicy kRetryPolicy;
/** No minimum number of samples: the classifier reports a p95 only after enough of them. */
const retries::HedgePolicy kHedgePolicy(0);

limits::PriorityClass ToQueuePriority(contract::PriorityClass priority) {
  switch (priority) {
    case contract::PriorityClass::kHigh:
      return limits::PriorityClass::kHigh;
    case contract::PriorityClass::kNormal:
      return limits::PriorityClass::kNormal;
    case contract::PriorityClass::kLow:
      break;
  }
  return limits::PriorityClass::kLow;
}

retries::AttemptStage StageOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return retries::AttemptStage::kAnswered;
    case AttemptEnd::kShed:
      return retries::AttemptStage::kRefusedNotRun;
    case AttemptEnd::kNotConnected:
      return retries::AttemptStage::kNotConnected;
    case AttemptEnd::kFailed:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kInvalidResponse:
      break;
  }
  return retries::AttemptStage::kMayHaveRun;
}

/** Returns the header fields of a worker's response that are forwarded to the caller. */
http::HttpHeaders HeadersForCaller(const http::HttpHeaders& headers) {
  http::HttpHeaders caller_headers;
  for (http::HttpHeader& header : http::WithoutHopByHop(headers)) {
    const bool is_internal =
        header.name.starts_with("x-qh-") || header.name == "server" || header.name == "date";
    if (!is_internal) {
      caller_headers.push_back(std::move(header));
    }
  }
  return caller_headers;
}

idempotency::StoredResponse ToStored(const http::HttpResponse& response) {
  idempotency::StoredResponse stored;
  stored.status = response.status;
  stored.body = response.body;
  for (const http::HttpHeader& header : response.headers) {
    stored.headers.emplace_back(header.name, header.value);
  }
  return stored;
}

http::HttpResponse FromStored(const idempotency::StoredResponse& stored) {
  http::HttpResponse response;
  response.status = stored.status;
  response.body = stored.body;
  for (const auto& [name, value] : stored.headers) {
    response.headers.push_back({name, value});
  }
  return response;
}

}  // namespace

CallTask::CallTask(CallService& service, std::shared_ptr<http::HttpExchange> exchange,
                   CallRequest call)
    : m_service(service),
      m_context(service.Context()),
      m_exchange(std::move(exchange)),
      m_call(std::move(call)),
      m_request_id(MakeRandomId(m_context.generator)),
      m_started(m_context.loop.Now()),
      m_deadline(m_started) {}

void CallTask::Begin() {
  m_contract = m_context.book.Find(m_call.customer);
  m_idempotent = m_contract != nullptr &&
                 m_contract->IsIdempotent(m_call.service, m_call.method, m_call.target);
  if (m_idempotent || m_call.key.empty()) {
    CheckAndStart();
    return;
  }
  // An earlier request with this key may have run, so no check may respond "not run" before the
  // state of the key is known.
  BeginKey();
}

void CallTask::BeginKey() {
  m_resolving_key = true;
  m_context.keys.Begin(m_call, [self = shared_from_this()](const KeyDecision& decision) {
    self->OnKeyDecision(decision);
  });
}

void CallTask::CheckAndStart() {
  std::optional<CallError> error = m_service.CheckState();
  if (!error.has_value()) {
    error = CheckContract();
  }
  if (!error.has_value()) {
    error = CheckQuarantine();
  }
  if (error.has_value()) {
    Fail(*error);
  } else if (m_idempotent || m_ticket.has_value()) {
    AdmitAndStart();
  } else {
    // The request has no key; BeginKey() ends the call with the error key_missing.
    BeginKey();
  }
}

std::optional<CallError> CallTask::CheckContract() {
  if (!m_context.book.IsConfirmed(m_started)) {
    return CallError{CallErrorCode::kContractUnconfirmed,
                     "neither the platform nor another VM confirms the contracts",
                     {}};
  }
  if (m_contract == nullptr) {
    return CallError{CallErrorCode::kUnknownCustomer, "no contract for this customer", {}};
  }
  const contract::ServiceTerms* terms = m_contract->FindService(m_call.service);
  if (terms == nullptr) {
    return CallError{CallErrorCode::kUnknownService, "the contract does not have this service", {}};
  }
  if (m_call.body.size() > static_cast<std::size_t>(m_contract->limits.max_body_bytes)) {
    return CallError{
        CallErrorCode::kBodyTooLarge, "the body is longer than the contract allows", {}};
  }
  m_deadline = retries::DeadlineOf(m_started, terms->deadline, m_call.time_left);
  m_route = routing::RouteOf(m_call.service, m_call.method, m_call.target);
  m_profile = m_context.workers.ProfileOf(m_route);
  if (!m_context.workers.HasLiveWorker(m_call.service)) {
    return CallError{CallErrorCode::kNoWorker, "no worker of this service takes work", {}};
  }
  return std::nullopt;
}

std::optional<CallError> CallTask::CheckQuarantine() const {
  const std::optional<Duration> remaining = m_context.workers.QuarantineLeft(m_call.fingerprint);
  if (!remaining.has_value()) {
    return std::nullopt;
  }
  return CallError{CallErrorCode::kQuarantined, "workers were lost while they ran this request",
                   duration_cast<milliseconds>(*remaining)};
}

void CallTask::OnKeyDecision(const KeyDecision& decision) {
  m_resolving_key = false;
  if (m_ended) {
    return;
  }
  if (const auto* begun = std::get_if<KeyBegun>(&decision)) {
    m_ticket = begun->ticket;
    CheckAndStart();
  } else if (const auto* replay = std::get_if<idempotency::KeyReplay>(&decision)) {
    SendResponse(FromStored(*replay->response), Outcome::kRan, "replayed");
  } else {
    Fail(std::get<CallError>(decision));
  }
}

void CallTask::AdmitAndStart() {
  CustomerState* customer = m_context.customers.Find(m_call.customer);
  if (customer == nullptr) {
    Fail({CallErrorCode::kUnknownCustomer, "no contract for this customer", {}});
    return;
  }
  const limits::Admission admission = customer->admission->TryAdmit(m_context.loop.Now());
  if (admission.decision != limits::AdmissionDecision::kAdmitted) {
    const bool rate_limited = admission.decision == limits::AdmissionDecision::kRateLimited;
    Fail({rate_limited ? CallErrorCode::kRateLimited : CallErrorCode::kTooManyInProgress,
          "the contract's limit is reached at this VM",
          std::chrono::ceil<milliseconds>(admission.retry_after)});
    return;
  }
  m_admitted = true;
  customer->BudgetOf(m_call.service).OnFirstAttempt();
  StartOrWait();
}

void CallTask::StartOrWait() {
  if (!m_service.HasWaitingCalls(m_call.service, m_profile.work_class)) {
    std::optional<std::string> worker =
        m_context.workers.Select(m_call.service, m_profile.work_class, m_tried_workers);
    if (worker.has_value()) {
      StartAttemptAt(*worker);
      return;
    }
  }
  m_service.Enqueue(shared_from_this());
}

void CallTask::StartAttemptAt(const std::string& worker) {
  ++m_attempts;
  m_tried_workers.push_back(worker);
  AttemptRequest attempt;
  attempt.worker = worker;
  attempt.request = MakeWorkerRequest();
  attempt.request_id = m_request_id;
  attempt.fingerprint = m_call.fingerprint;
  attempt.timeout = AttemptTimeout();
  attempt.route = m_route;
  attempt.profile = m_profile;
  attempt.max_response_bytes = static_cast<std::size_t>(m_contract->limits.max_response_bytes);
  // The first attempt may have used a silent idle connection, and there is no third attempt.
  attempt.new_connection = m_attempts > 1;
  m_context.events.Add("attempt_started", m_request_id, m_call.customer, worker, m_call.service);
  const std::uint64_t number = m_context.workers.StartAttempt(
      std::move(attempt), [self = shared_from_this(), worker](const AttemptResult& result) {
        self->OnAttemptEnd(worker, result);
      });
  m_running_attempts.push_back({worker, number});
  if (m_attempts == 1) {
    ScheduleHedge();
  }
}

retries::HedgeCandidate CallTask::ToHedgeCandidate() const {
  retries::HedgeCandidate candidate;
  candidate.idempotent = m_idempotent;
  candidate.no_retry = m_call.no_retry;
  candidate.deadline = m_deadline;
  candidate.p95 = m_profile.p95;
  return candidate;
}

void CallTask::ScheduleHedge() {
  if (m_profile.p95 <= Duration::zero()) {
    return;
  }
  const std::optional<Duration> delay =
      kHedgePolicy.DelayOf(ToHedgeCandidate(), m_context.loop.Now());
  if (!delay.has_value()) {
    return;
  }
  m_hedge_timer = std::make_unique<net::Timer>(m_context.loop, [weak = weak_from_this()] {
    if (const std::shared_ptr<CallTask> self = weak.lock()) {
      self->StartHedge();
    }
  });
  m_hedge_timer->StartOnce(std::chrono::ceil<milliseconds>(*delay));
}

void CallTask::StartHedge() {
  CustomerState* customer = m_context.customers.Find(m_call.customer);
  if (customer == nullptr || m_running_attempts.empty() || CheckQuarantine().has_value()) {
    return;
  }
  // No hedge while calls wait for a worker: first attempts take precedence over hedges.
  if (m_service.HasWaitingCalls(m_call.service, m_profile.work_class)) {
    return;
  }
  const std::optional<std::string> worker =
      m_context.workers.Select(m_call.service, m_profile.work_class, m_tried_workers);
  if (worker.has_value() && kHedgePolicy.TryStart(ToHedgeCandidate(), m_context.loop.Now(),
                                                  customer->BudgetOf(m_call.service))) {
    m_context.metrics.CounterOf("qh_hedges_total").Add();
    StartAttemptAt(*worker);
  }
}

void CallTask::CancelAttempts() {
  m_hedge_timer.reset();
  for (const RunningAttempt& running : std::exchange(m_running_attempts, {})) {
    m_context.workers.CancelAttempt(running.number);
  }
}

http::HttpRequest CallTask::MakeWorkerRequest() const {
  http::HttpRequest request{m_call.method, m_call.target, m_call.headers, m_call.body};
  const std::int64_t time_left =
      retries::NextHopMillis(m_deadline, m_context.loop.Now(), kHopAllowance);
  request.headers.push_back({"x-qh-request-id", m_request_id});
  request.headers.push_back({"x-qh-customer", m_call.customer});
  request.headers.push_back({"x-qh-deadline-ms", std::to_string(time_left)});
  request.headers.push_back({"x-qh-depth", std::to_string(m_call.depth)});
  // Only this VM retries: the nested calls that the worker makes must not be retried further down.
  request.headers.push_back({"x-qh-no-retry", "1"});
  if (!m_call.key.empty()) {
    request.headers.push_back({"idempotency-key", m_call.key});
  }
  return request;
}

milliseconds CallTask::AttemptTimeout() {
  CustomerState* customer = m_context.customers.Find(m_call.customer);
  const bool retry_possible = m_idempotent && !m_call.no_retry && m_attempts < 2 &&
                              customer != nullptr &&
                              customer->BudgetOf(m_call.service).TokensLeft() > 0;
  Duration limit = retries::MaxAttemptDuration(m_deadline, m_context.loop.Now(), m_profile.median,
                                               retry_possible);
  if (retry_possible) {
    limit = std::min<Duration>(limit, m_context.settings.silent_after);
  }
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(limit));
}

void CallTask::OnAttemptEnd(const std::string& worker, const AttemptResult& result) {
  std::erase_if(m_running_attempts,
                [&](const RunningAttempt& running) { return running.worker == worker; });
  m_max_attempt_latency = std::max(m_max_attempt_latency, result.latency);
  m_context.events.Add("attempt_ended", m_request_id, m_call.customer, worker,
                       result.end == AttemptEnd::kAnswered
                           ? "status " + std::to_string(result.response.status)
                           : ToString(result.error));
  if (result.end == AttemptEnd::kAnswered) {
    CancelAttempts();
    ForwardResponse(result);
    return;
  }
  if (!retries::CertainlyNotRun(StageOf(result.end))) {
    m_may_have_run = true;
  }
  if (m_running_attempts.empty()) {
    m_hedge_timer.reset();
    RetryOrFail(result);
  }
}

void CallTask::ForwardResponse(const AttemptResult& result) {
  http::HttpResponse response;
  response.status = result.response.status;
  response.headers = HeadersForCaller(result.response.headers);
  // Stored with the response, so that a replay carries the id of the request that the worker ran.
  response.headers.push_back({"x-qh-request-id", m_request_id});
  response.body = result.response.body;
  SendResponse(std::move(response), Outcome::kRan, "ran");
}

void CallTask::RetryOrFail(const AttemptResult& result) {
  CustomerState* customer = m_context.customers.Find(m_call.customer);
  if (customer != nullptr && !CheckQuarantine().has_value()) {
    const retries::FailedAttempt failed{StageOf(result.end), m_idempotent, m_call.no_retry,
                                        m_attempts,          m_deadline,   m_profile.median};
    const retries::RetryDecision decision =
        kRetryPolicy.Decide(failed, m_context.loop.Now(), customer->BudgetOf(m_call.service));
    m_context.metrics
        .CounterOf("qh_retry_decisions_total",
                   "decision=\"" + std::string(ToString(decision)) + "\"")
        .Add();
    if (decision == retries::RetryDecision::kRetry) {
      StartOrWait();
      return;
    }
  }
  Fail(ErrorOfAttempt(result));
}

CallError CallTask::ErrorOfAttempt(const AttemptResult& result) const {
  if (m_may_have_run) {
    switch (result.end) {
      case AttemptEnd::kTimedOut:
        return {CallErrorCode::kDeadlineExceeded, ToString(result.error), {}};
      case AttemptEnd::kInvalidResponse:
        return {CallErrorCode::kAnswerCut, ToString(result.error), {}};
      default:
        return {CallErrorCode::kWorkerFailed, ToString(result.error), {}};
    }
  }
  if (result.end == AttemptEnd::kShed) {
    return {CallErrorCode::kOverloaded, "the worker sheds load", {}};
  }
  return {CallErrorCode::kNoWorker, ToString(result.error), {}};
}

void CallTask::RefuseFromQueue(const CallError& error) {
  if (m_may_have_run) {
    Fail({CallErrorCode::kDeadlineExceeded,
          "an earlier attempt may have run; " + error.message,
          {}});
    return;
  }
  Fail(error);
}

void CallTask::RespondBeforeStop() {
  // An earlier request with a key that is not resolved yet may have run.
  const bool may_have_run = m_may_have_run || m_resolving_key || !m_running_attempts.empty();
  CancelAttempts();
  if (may_have_run) {
    Fail({CallErrorCode::kOutcomeUnknown, "this VM stopped before the call ended", {}});
  } else {
    Fail({CallErrorCode::kShuttingDown, "this VM is stopping", {}});
  }
}

limits::QueuedRequest CallTask::ToQueuedRequest() const {
  limits::QueuedRequest request;
  // The address of this object is unique among waiting calls, because CallService keeps them alive.
  request.id = reinterpret_cast<std::uintptr_t>(this);
  request.customer = m_call.customer;
  request.priority = ToQueuePriority(m_contract->priority);
  request.deadline = m_deadline;
  request.expected_work = m_profile.median;
  return request;
}

void CallTask::Fail(const CallError& error) {
  SendResponse(ToResponse(error, m_request_id), OutcomeOf(error.code), ToString(error.code));
}

void CallTask::FinishKey(Outcome outcome, const http::HttpResponse& response) {
  if (!m_ticket.has_value()) {
    return;
  }
  idempotency::KeyTable& table = m_context.keys.Table();
  switch (outcome) {
    case Outcome::kRan:
      table.FinishDone(*m_ticket, ToStored(response));
      break;
    case Outcome::kUnknown:
      table.FinishUnknown(*m_ticket);
      break;
    case Outcome::kNotRun:
      // An earlier copy of a request that the caller has retried may arrive after this response
      // and must not run then.
      if (m_call.attempt > 1) {
        table.RefuseNotRun(*m_ticket);
      } else {
        table.ReleaseNotRun(*m_ticket);
      }
      break;
  }
}

void CallTask::SendResponse(http::HttpResponse response, Outcome outcome, const char* code) {
  m_ended = true;
  FinishKey(outcome, response);
  if (m_admitted) {
    if (CustomerState* customer = m_context.customers.Find(m_call.customer)) {
      customer->admission->Finish();
    }
  }
  if (outcome == Outcome::kRan) {
    response.headers.push_back({"x-qh-outcome", ToString(Outcome::kRan)});
  }
  const Duration total = m_context.loop.Now() - m_started;
  m_service.CountCall(outcome, code);
  m_context.metrics.HistogramOf("qh_call_seconds").Record(duration_cast<microseconds>(total));
  m_context.metrics.HistogramOf("qh_call_added_seconds")
      .Record(duration_cast<microseconds>(total - m_max_attempt_latency));
  m_context.events.Add("call_ended", m_request_id, m_call.customer, "", code);
  m_service.MarkIfDraining(response);
  m_service.OnCallFinished(*this);
  m_exchange->Respond(std::move(response));
}

}  // namespace qh::entry
