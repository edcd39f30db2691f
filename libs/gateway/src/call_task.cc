#include "call_task.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/gateway/retry_advice.h"
#include "quetzalhinge/logging/log.h"

namespace qh::gateway {
namespace {

using dispatch::Pick;
using dispatch::PickStep;
using std::chrono::milliseconds;

/** Time-out of a round of probes; a worker responds within some milliseconds. */
constexpr milliseconds kProbeRoundTimeout{25};

/** Pause before workers are probed again if all were full. */
constexpr milliseconds kFullRetryInterval{40};

/** Fraction of the target latency for which a request waits for a free slot, then is refused. */
constexpr double kMaxSlotWaitFraction = 0.3;

/** Fraction of the target latency after which a hedged request is sent to another worker. */
constexpr double kHedgeDelayFraction = 0.5;

/**
 * Fraction of the target latency that the work is expected to take. Against it the picker weighs
 * the extra latency of workers in other zones.
 */
constexpr double kExpectedWorkFraction = 0.33;

/** Shortest time in which a worker can respond; with less time left, a retry is useless. */
constexpr milliseconds kMinAttemptTime{20};

std::string FormatSeconds(milliseconds time) {
  constexpr int kMillisPerSecond = 1000;
  const std::string thousandths =
      std::to_string(kMillisPerSecond + time.count() % kMillisPerSecond);
  return std::to_string(time.count() / kMillisPerSecond) + "." + thousandths.substr(1);
}

milliseconds Scale(milliseconds time, double fraction) {
  return std::chrono::duration_cast<milliseconds>(time * fraction);
}

milliseconds CeilMillis(Duration duration) {
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(duration));
}

}  // namespace

CallTask::CallTask(CallContext& context, std::shared_ptr<http::ServerExchange> exchange,
                   CallParameters parameters)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_parameters(std::move(parameters)),
      m_pick_timer(context.loop, [this] { PickWorker(); }),
      m_deadline_timer(context.loop, [this] { OnDeadline(); }),
      m_hedge_timer(context.loop, [this] { StartHedge(); }) {
  m_pick_request.service = m_parameters.service;
  m_pick_request.expected_work = Scale(m_parameters.route.target_latency, kExpectedWorkFraction);
}

CallTask::~CallTask() = default;

void CallTask::Start() {
  m_self = shared_from_this();
  m_pick_request.zone = m_context.zone;
  m_context.budgets.OnFirstAttempt(m_parameters.service);
  m_exchange->OnPeerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  m_deadline_timer.StartOnce(CeilMillis(TimeLeft()));
  PickWorker();
}

void CallTask::PickWorker() {
  if (m_finished) {
    return;
  }
  m_picking = true;
  m_pick_timer.Stop();
  ++m_round;
  m_probes_outstanding = 0;
  const TimePoint now = m_context.loop.Now();
  const Pick pick =
      m_context.picker.Decide(m_context.registry, m_pick_request, m_probed_workers,
                              TimeLeft() > 2 * kProbeRoundTimeout, now, m_context.random);
  const dispatch::WorkerStatus* worker = m_context.registry.Find(pick.worker);
  const bool is_preferred = worker != nullptr && m_context.picker.IsPreferred(*worker, now);
  if (m_picking_hedge && pick.step != PickStep::kProbe && !is_preferred) {
    // No other worker is known to be better than the first one.
    AbandonHedge();
    return;
  }
  switch (pick.step) {
    case PickStep::kSend:
      Send(pick);
      break;
    case PickStep::kProbe:
      Probe(pick);
      break;
    case PickStep::kFull:
      m_refusal_cause = RefusalCause::kNoFreeSlots;
      WaitForFreeSlot(pick);
      break;
    case PickStep::kLimited:
      m_refusal_cause = RefusalCause::kWorkerLimits;
      m_limit_wait = pick.wait;
      WaitForFreeSlot(pick);
      break;
    case PickStep::kNone:
      m_picking = false;
      RespondWithFailure(pick.reason);
      break;
  }
}

void CallTask::Probe(const Pick& pick) {
  const int round = m_round;
  m_probes_outstanding = static_cast<int>(pick.probes.size());
  for (const std::string& id : pick.probes) {
    m_probed_workers.insert(id);
    m_context.worker_links.Probe(id, [weak = weak_from_this(), round](bool is_healthy) {
      if (const auto self = weak.lock()) {
        self->OnProbeEnded(round, is_healthy);
      }
    });
  }
  m_pick_timer.StartOnce(kProbeRoundTimeout);
}

void CallTask::OnProbeEnded(int round, bool is_healthy) {
  if (m_finished || !m_picking || round != m_round) {
    return;
  }
  --m_probes_outstanding;
  const TimePoint now = m_context.loop.Now();
  const bool has_preferred_worker = is_healthy && [&] {
    for (const dispatch::WorkerStatus* worker : m_context.registry.Usable(m_parameters.service)) {
      if (m_pick_request.excluded.count(worker->record.id) == 0 &&
          m_context.picker.IsPreferred(*worker, now)) {
        return true;
      }
    }
    return false;
  }();
  if (has_preferred_worker || m_probes_outstanding == 0) {
    PickWorker();
  }
}

void CallTask::WaitForFreeSlot(const Pick& pick) {
  const Duration waited = m_context.loop.Now() - m_parameters.started_at;
  // If the wait is known to be too long, it is not begun.
  if (waited + pick.wait > Scale(m_parameters.route.target_latency, kMaxSlotWaitFraction)) {
    m_picking = false;
    RespondWithFailure(pick.reason);
    return;
  }
  m_probed_workers.clear();
  m_pick_timer.StartOnce(kFullRetryInterval);
}

void CallTask::Send(const Pick& pick) {
  m_picking = false;
  const bool is_retry = !m_attempts.empty();
  if (is_retry && !m_context.budgets.TryTake(m_parameters.service)) {
    if (m_picking_hedge) {
      AbandonHedge();
      return;
    }
    RespondWithFailure("retry budget exhausted");
    return;
  }
  Attempt attempt;
  attempt.worker_connection = m_context.worker_links.Acquire(pick.worker);
  if (attempt.worker_connection.connection == nullptr) {
    RespondWithFailure("worker left before the request was sent");
    return;
  }
  const TimePoint now = m_context.loop.Now();
  const bool is_hedge = std::exchange(m_picking_hedge, false);
  const dispatch::WorkerStatus& worker = *m_context.registry.Find(pick.worker);
  attempt.had_free_slots = m_context.picker.IsPreferred(worker, now);
  const auto report_age = worker.reported_at.has_value()
                              ? std::to_string(ToMillis(now - *worker.reported_at))
                              : std::string("none");
  logging::LogDecision(
      "call", "send",
      {{"request", m_parameters.request_id},
       {"worker", pick.worker},
       {"attempt", std::to_string(m_attempts.size() + 1)},
       {"reason", is_hedge ? "hedge" : pick.reason},
       {"report_age_ms", report_age},
       {"slowdown", std::to_string(static_cast<int>(worker.report.slowdown * 100))},
       {"occupancy", std::to_string(dispatch::Occupancy(worker))},
       {"ms", MillisSinceStart()}});
  m_pick_request.excluded.insert(pick.worker);
  m_context.registry.OnSent(pick.worker, now);
  m_context.crash_watch.OnSent(pick.worker, m_parameters.fingerprint);
  const std::size_t index = m_attempts.size();
  const http::ClientRequest request = RequestFor(attempt.worker_connection.worker);
  const auto connection = attempt.worker_connection.connection;
  m_attempts.push_back(std::move(attempt));
  connection->Start(request, [weak = weak_from_this(), index](const http::HttpCallResult& result) {
    if (const auto self = weak.lock()) {
      self->OnAttemptEnded(index, result);
    }
  });
  if (m_parameters.route.kind == routes::RouteKind::kSafe) {
    m_hedge_timer.StartOnce(Scale(m_parameters.route.target_latency, kHedgeDelayFraction));
  }
}

http::ClientRequest CallTask::RequestFor(const dispatch::WorkerRecord& worker) const {
  const http::HttpRequest& original = m_exchange->Request();
  const CallHeaders& names = m_context.headers;
  http::ClientRequest request;
  request.request.method = original.method;
  request.request.path = original.path;
  request.request.body = original.body;
  for (const http::HttpHeader& header : original.headers) {
    if (header.name == "host") {
      request.host = header.value;
    } else if (header.name != names.time_left_ms && header.name != names.expected_worker &&
               header.name != names.not_run && header.name != "expect") {
      request.request.headers.push_back(header);
    }
  }
  const milliseconds left = std::chrono::floor<milliseconds>(TimeLeft());
  request.request.headers.push_back({names.time_left_ms, std::to_string(left.count())});
  request.request.headers.push_back({names.expected_worker, worker.id});
  // Longer than the remaining time, so that the deadline timer of the task fires first.
  request.timeout = left + kMinAttemptTime;
  request.matches_request = [name = names.request_id,
                             id = m_parameters.request_id](const http::HttpResponse& response) {
    // Probes share the connections of requests and have no identifier. A response without one could
    // be a late or repeated response to a probe.
    return http::FindHeader(response.headers, name) == id;
  };
  return request;
}

void CallTask::OnAttemptEnded(std::size_t index, const http::HttpCallResult& result) {
  const auto self = shared_from_this();
  Attempt& attempt = m_attempts[index];
  if (m_finished || !attempt.in_progress) {
    return;
  }
  const std::string worker = attempt.worker_connection.worker.id;
  const auto* failure = std::get_if<http::HttpCallFailure>(&result);
  const AttemptVerdict verdict =
      failure != nullptr
          ? ClassifyFailure(*failure)
          : ClassifyResponse(std::get<http::HttpResponse>(result), m_context.headers);
  const bool served = verdict == AttemptVerdict::kServed;
  EndAttempt(attempt,
             failure != nullptr && failure->closed_by_peer &&
                 failure->stage != http::CallStage::kNotConnected,
             served);
  const TimePoint now = m_context.loop.Now();
  if (failure == nullptr) {
    m_context.worker_links.RecordResponse(worker, std::get<http::HttpResponse>(result));
  }
  if (served) {
    m_context.registry.OnSuccess(worker, now);
    RespondWithWorkerResponse(std::get<http::HttpResponse>(result), "served");
    return;
  }
  m_context.registry.OnFailure(worker, now);
  logging::LogDecision(
      "call", "attempt ended",
      {{"request", m_parameters.request_id},
       {"worker", worker},
       {"verdict", kAttemptVerdictNames.NameOf(verdict)},
       {"detail", failure != nullptr
                      ? failure->error.step + ": " + failure->error.detail
                      : "status " + std::to_string(std::get<http::HttpResponse>(result).status)},
       {"ms", MillisSinceStart()}});
  m_may_have_run = m_may_have_run || verdict != AttemptVerdict::kNotRun;
  const bool is_refusal = failure == nullptr && verdict == AttemptVerdict::kNotRun;
  m_refusal_cause = is_refusal && attempt.had_free_slots ? RefusalCause::kRefusedDespiteFreeSlots
                                                         : RefusalCause::kNoFreeSlots;
  if (verdict == AttemptVerdict::kFailed) {
    m_failure_response = std::get<http::HttpResponse>(result);
  }
  ContinueAfterFailure();
}

void CallTask::EndAttempt(Attempt& attempt, bool connection_broken, bool succeeded) {
  attempt.in_progress = false;
  const std::string worker = attempt.worker_connection.worker.id;
  m_context.registry.OnEnded(worker);
  if (connection_broken) {
    m_context.crash_watch.OnConnectionBroken(worker, m_parameters.fingerprint);
  } else {
    m_context.crash_watch.OnEnded(worker, m_parameters.fingerprint, succeeded);
  }
  // Closes the connection if the worker has not responded yet, which cancels its work.
  m_context.worker_links.Release(std::exchange(attempt.worker_connection, {}));
}

void CallTask::ContinueAfterFailure() {
  if (HasAttemptInProgress() || m_picking) {
    return;
  }
  if (!MayRetry()) {
    RespondWithFailure(m_failure_response.has_value() ? "failure response of worker"
                                                      : "no further attempt allowed");
    return;
  }
  m_probed_workers.clear();
  PickWorker();
}

bool CallTask::MayRetry() const {
  const bool is_safe = m_parameters.route.kind == routes::RouteKind::kSafe;
  if (m_may_have_run && !is_safe) {
    return false;
  }
  // Other workers would respond with the same 4xx status.
  if (m_failure_response.has_value() && m_failure_response->status < 500) {
    return false;
  }
  return static_cast<int>(m_attempts.size()) < m_parameters.route.max_attempts &&
         TimeLeft() > 2 * kMinAttemptTime;
}

void CallTask::StartHedge() {
  if (m_finished || m_picking || !HasAttemptInProgress() || !MayRetry()) {
    return;
  }
  m_picking_hedge = true;
  m_probed_workers.clear();
  PickWorker();
}

void CallTask::AbandonHedge() {
  m_picking = false;
  m_picking_hedge = false;
  // The first attempt may have failed while a worker for the hedged request was picked.
  ContinueAfterFailure();
}

void CallTask::OnDeadline() {
  if (m_finished) {
    return;
  }
  m_deadline_passed = true;
  if (HasAttemptInProgress()) {
    m_may_have_run = true;
  }
  RespondWithFailure("deadline");
}

void CallTask::RespondBeforeStop() {
  if (m_finished) {
    return;
  }
  m_may_have_run = m_may_have_run || HasAttemptInProgress();
  RespondWithFailure("process stops");
}

void CallTask::OnCallerDisconnected() {
  if (m_finished) {
    return;
  }
  logging::LogDecision("call", "caller disconnected",
                       {{"request", m_parameters.request_id}, {"ms", MillisSinceStart()}});
  Finish(http::HttpResponse{}, "caller disconnected");
}

void CallTask::RespondWithWorkerResponse(const http::HttpResponse& response, const char* reason) {
  http::HttpResponse forwarded;
  forwarded.status = response.status;
  forwarded.body = response.body;
  forwarded.ends_with_connection = response.ends_with_connection;
  for (const http::HttpHeader& header : response.headers) {
    const CallHeaders& names = m_context.headers;
    if (header.name != names.worker_load && header.name != names.worker_id) {
      forwarded.headers.push_back(header);
    }
  }
  Finish(forwarded, reason);
}

void CallTask::RespondWithFailure(const char* reason) {
  if (m_failure_response.has_value()) {
    RespondWithWorkerResponse(*m_failure_response, reason);
  } else if (m_may_have_run) {
    Finish(http::HttpResponse{m_deadline_passed ? 504 : 502,
                              {{m_context.headers.request_id, m_parameters.request_id}},
                              "",
                              false},
           reason);
  } else {
    RespondWithRefusal(reason);
  }
}

void CallTask::RespondWithRefusal(const char* reason) {
  const milliseconds wait =
      m_refusal_cause == RefusalCause::kWorkerLimits
          ? ChooseRetryAfterLimit(m_limit_wait, m_context.random)
          : ChooseRetryAfter(m_refusal_cause, m_parameters.route.target_latency, m_context.random);
  Finish(http::HttpResponse{503,
                            {{m_context.headers.request_id, m_parameters.request_id},
                             {"retry-after", FormatSeconds(wait)}},
                            "",
                            false},
         reason);
}

void CallTask::Finish(const http::HttpResponse& response, const char* reason) {
  const auto self = shared_from_this();
  m_finished = true;
  m_pick_timer.Stop();
  m_deadline_timer.Stop();
  m_hedge_timer.Stop();
  CancelAttempts();
  const Duration elapsed = m_context.loop.Now() - m_parameters.started_at;
  m_context.metrics
      .CounterOf("qh_calls_total", "status=\"" + std::to_string(response.status) + "\"")
      .Add();
  m_context.metrics.HistogramOf("qh_call_seconds", "service=\"" + m_parameters.service + "\"")
      .Record(std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
  logging::LogDecision("call", "answer",
                       {{"request", m_parameters.request_id},
                        {"status", std::to_string(response.status)},
                        {"reason", reason},
                        {"route", m_parameters.route.name},
                        {"service", m_parameters.service},
                        {"configuration", std::to_string(m_parameters.configuration_version)},
                        {"attempts", std::to_string(m_attempts.size())},
                        {"ms", MillisSinceStart()}});
  m_exchange->Respond(response);
  m_exchange.reset();
  m_self.reset();
}

void CallTask::CancelAttempts() {
  for (Attempt& attempt : m_attempts) {
    if (attempt.in_progress) {
      EndAttempt(attempt, false, false);
    }
  }
}

bool CallTask::HasAttemptInProgress() const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_progress; });
}

Duration CallTask::TimeLeft() const { return m_parameters.deadline - m_context.loop.Now(); }

std::string CallTask::MillisSinceStart() const {
  return std::to_string(ToMillis(m_context.loop.Now() - m_parameters.started_at));
}

}  // namespace qh::gateway
