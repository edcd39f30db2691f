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

/** How long a round of probes is waited for; a worker answers within some milliseconds. */
constexpr milliseconds kProbeRoundTime{25};

/** Pause before workers that were all full are asked again. */
constexpr milliseconds kFullPause{40};

/** Part of the target latency for which a request waits for room before it is refused. */
constexpr double kWaitForRoomPart = 0.3;

/** Part of the target latency after which another worker is tried beside a silent one. */
constexpr double kSecondOpinionPart = 0.5;

/** Part of the target latency that the work usually takes; decides how far away a worker may be. */
constexpr double kUsualWorkPart = 0.33;

/** Shortest time in which a worker could still answer; less is not worth a repeat. */
constexpr milliseconds kShortestAttempt{20};

constexpr int kFirstFailureStatus = 300;

std::string FormatSeconds(milliseconds time) {
  constexpr int kMillisPerSecond = 1000;
  const std::string thousandths =
      std::to_string(kMillisPerSecond + time.count() % kMillisPerSecond);
  return std::to_string(time.count() / kMillisPerSecond) + "." + thousandths.substr(1);
}

milliseconds PartOf(milliseconds time, double part) {
  return std::chrono::duration_cast<milliseconds>(time * part);
}

milliseconds CeilMillis(Duration duration) {
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(duration));
}

}  // namespace

CallTask::CallTask(CallContext& context, std::shared_ptr<http::ServerExchange> exchange,
                   CallTerms terms)
    : m_context(context),
      m_exchange(std::move(exchange)),
      m_terms(std::move(terms)),
      m_pick_timer(context.loop, [this] { PickWorker(); }),
      m_deadline_timer(context.loop, [this] { OnDeadline(); }),
      m_second_opinion_timer(context.loop, [this] { StartSecondOpinion(); }) {
  m_pick_request.service = m_terms.service;
  m_pick_request.expected_work = PartOf(m_terms.route.target_latency, kUsualWorkPart);
}

CallTask::~CallTask() = default;

void CallTask::Start() {
  m_self = shared_from_this();
  m_pick_request.zone = m_context.zone;
  m_context.budgets.OnFirstAttempt(m_terms.service);
  m_exchange->OnPeerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
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
      m_context.picker.Decide(m_context.registry, m_pick_request, m_asked,
                              TimeLeft() > 2 * kProbeRoundTime, now, m_context.random);
  const dispatch::WorkerStatus* worker = m_context.registry.Find(pick.worker);
  const bool is_good = worker != nullptr && m_context.picker.IsPreferred(*worker, now);
  if (m_picking_second_opinion && pick.step != PickStep::kProbe && !is_good) {
    // The first worker may still be the best one.
    AbandonSecondOpinion();
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
      m_refusal_cause = RefusalCause::kNoRoom;
      WaitForRoom(pick);
      break;
    case PickStep::kNone:
      m_picking = false;
      AnswerFailure(pick.reason);
      break;
  }
}

void CallTask::Probe(const Pick& pick) {
  const int round = m_round;
  m_probes_outstanding = static_cast<int>(pick.probes.size());
  for (const std::string& id : pick.probes) {
    m_asked.insert(id);
    m_context.links.Probe(id, [weak = weak_from_this(), round](bool is_well) {
      if (const auto self = weak.lock()) {
        self->OnProbeAnswered(round, is_well);
      }
    });
  }
  m_pick_timer.StartOnce(kProbeRoundTime);
}

void CallTask::OnProbeAnswered(int round, bool is_well) {
  if (m_finished || !m_picking || round != m_round) {
    return;
  }
  --m_probes_outstanding;
  const TimePoint now = m_context.loop.Now();
  const bool found = is_well && [&] {
    for (const dispatch::WorkerStatus* worker : m_context.registry.Usable(m_terms.service)) {
      if (m_pick_request.excluded.count(worker->record.id) == 0 &&
          m_context.picker.IsPreferred(*worker, now)) {
        return true;
      }
    }
    return false;
  }();
  if (found || m_probes_outstanding == 0) {
    PickWorker();
  }
}

void CallTask::WaitForRoom(const Pick& pick) {
  const Duration waited = m_context.loop.Now() - m_terms.started_at;
  if (waited > PartOf(m_terms.route.target_latency, kWaitForRoomPart)) {
    m_picking = false;
    AnswerFailure(pick.reason);
    return;
  }
  m_asked.clear();
  m_pick_timer.StartOnce(kFullPause);
}

void CallTask::Send(const Pick& pick) {
  m_picking = false;
  const bool is_repeat = !m_attempts.empty();
  if (is_repeat && !m_context.budgets.TryTake(m_terms.service)) {
    if (m_picking_second_opinion) {
      AbandonSecondOpinion();
      return;
    }
    AnswerFailure("retry budget is spent");
    return;
  }
  Attempt attempt;
  attempt.lent = m_context.links.Lend(pick.worker);
  if (attempt.lent.connection == nullptr) {
    AnswerFailure("worker has just left");
    return;
  }
  const TimePoint now = m_context.loop.Now();
  const bool is_second_opinion = std::exchange(m_picking_second_opinion, false);
  const dispatch::WorkerStatus& worker = *m_context.registry.Find(pick.worker);
  attempt.had_room = m_context.picker.IsPreferred(worker, now);
  const auto report_age = worker.reported_at.has_value()
                              ? std::to_string(ToMillis(now - *worker.reported_at))
                              : std::string("none");
  logging::LogDecision(
      "call", "send",
      {{"request", m_terms.request_id},
       {"worker", pick.worker},
       {"attempt", std::to_string(m_attempts.size() + 1)},
       {"reason", is_second_opinion ? "second opinion" : pick.reason},
       {"report_age_ms", report_age},
       {"slowdown", std::to_string(static_cast<int>(worker.report.slowdown * 100))},
       {"occupancy", std::to_string(dispatch::Occupancy(worker))},
       {"ms", MillisSinceStart()}});
  m_pick_request.excluded.insert(pick.worker);
  m_context.registry.OnSent(pick.worker);
  m_context.crashes.OnSent(pick.worker, m_terms.fingerprint);
  const std::size_t index = m_attempts.size();
  const http::ClientRequest request = RequestFor(attempt.lent.worker);
  const auto connection = attempt.lent.connection;
  m_attempts.push_back(std::move(attempt));
  connection->Start(request, [weak = weak_from_this(), index](const http::HttpCallResult& result) {
    if (const auto self = weak.lock()) {
      self->OnAttemptEnded(index, result);
    }
  });
  if (m_terms.route.kind == routes::RouteKind::kSafe) {
    m_second_opinion_timer.StartOnce(PartOf(m_terms.route.target_latency, kSecondOpinionPart));
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
  // The task's own deadline ends the attempt first.
  request.timeout = left + kShortestAttempt;
  request.matches_request = [name = names.request_id,
                             id = m_terms.request_id](const http::HttpResponse& response) {
    const auto echoed = http::FindHeader(response.headers, name);
    // Successes without an identity could belong to any request.
    return echoed.has_value() ? *echoed == id : response.status >= kFirstFailureStatus;
  };
  return request;
}

void CallTask::OnAttemptEnded(std::size_t index, const http::HttpCallResult& result) {
  const auto self = shared_from_this();
  Attempt& attempt = m_attempts[index];
  if (m_finished || !attempt.in_progress) {
    return;
  }
  const std::string worker = attempt.lent.worker.id;
  const auto* failure = std::get_if<http::HttpCallFailure>(&result);
  const AttemptVerdict verdict =
      failure != nullptr ? JudgeFailure(*failure)
                         : JudgeResponse(std::get<http::HttpResponse>(result), m_context.headers);
  const bool served = verdict == AttemptVerdict::kServed;
  Release(attempt,
          failure != nullptr && failure->closed_by_peer &&
              failure->stage != http::CallStage::kNotConnected,
          served);
  const TimePoint now = m_context.loop.Now();
  if (failure == nullptr) {
    m_context.links.TakeReport(worker, std::get<http::HttpResponse>(result));
  }
  if (served) {
    m_context.registry.OnSuccess(worker, now);
    AnswerWorkerResponse(std::get<http::HttpResponse>(result), "served");
    return;
  }
  m_context.registry.OnFailure(worker, now);
  logging::LogDecision(
      "call", "attempt ended",
      {{"request", m_terms.request_id},
       {"worker", worker},
       {"verdict", kAttemptVerdictNames.NameOf(verdict)},
       {"detail", failure != nullptr
                      ? failure->error.step + ": " + failure->error.detail
                      : "status " + std::to_string(std::get<http::HttpResponse>(result).status)},
       {"ms", MillisSinceStart()}});
  m_may_have_run = m_may_have_run || verdict != AttemptVerdict::kNotRun;
  const bool is_refusal = failure == nullptr && verdict == AttemptVerdict::kNotRun;
  m_refusal_cause =
      is_refusal && attempt.had_room ? RefusalCause::kRefusedDespiteRoom : RefusalCause::kNoRoom;
  if (verdict == AttemptVerdict::kFailed) {
    m_failure_response = std::get<http::HttpResponse>(result);
  }
  AfterFailedAttempt();
}

void CallTask::Release(Attempt& attempt, bool broken, bool succeeded) {
  attempt.in_progress = false;
  const std::string worker = attempt.lent.worker.id;
  m_context.registry.OnEnded(worker);
  if (broken) {
    m_context.crashes.OnBroken(worker, m_terms.fingerprint);
  } else {
    m_context.crashes.OnEnded(worker, m_terms.fingerprint, succeeded);
  }
  // Closes the connection if the worker has not answered, which cancels its work.
  m_context.links.GiveBack(std::exchange(attempt.lent, {}));
}

void CallTask::AfterFailedAttempt() {
  if (HasAttemptInProgress() || m_picking) {
    return;
  }
  if (!MayRepeat()) {
    AnswerFailure(m_failure_response.has_value() ? "worker's failure"
                                                 : "no further attempt is allowed");
    return;
  }
  m_asked.clear();
  PickWorker();
}

bool CallTask::MayRepeat() const {
  const bool is_safe = m_terms.route.kind == routes::RouteKind::kSafe;
  if (m_may_have_run && !is_safe) {
    return false;
  }
  // A 4xx answer is the same everywhere.
  if (m_failure_response.has_value() && m_failure_response->status < 500) {
    return false;
  }
  return static_cast<int>(m_attempts.size()) < m_terms.route.max_attempts &&
         TimeLeft() > 2 * kShortestAttempt;
}

void CallTask::StartSecondOpinion() {
  if (m_finished || m_picking || !HasAttemptInProgress() || !MayRepeat()) {
    return;
  }
  m_picking_second_opinion = true;
  m_asked.clear();
  PickWorker();
}

void CallTask::AbandonSecondOpinion() {
  m_picking = false;
  m_picking_second_opinion = false;
  // The first attempt may have failed while a worker for the second was looked for.
  AfterFailedAttempt();
}

void CallTask::OnDeadline() {
  if (m_finished) {
    return;
  }
  m_deadline_passed = true;
  if (HasAttemptInProgress()) {
    m_may_have_run = true;
  }
  AnswerFailure("deadline");
}

void CallTask::OnCallerGone() {
  if (m_finished) {
    return;
  }
  logging::LogDecision("call", "caller left",
                       {{"request", m_terms.request_id}, {"ms", MillisSinceStart()}});
  Finish(http::HttpResponse{}, "caller left");
}

void CallTask::AnswerWorkerResponse(const http::HttpResponse& response, const char* reason) {
  http::HttpResponse answer;
  answer.status = response.status;
  answer.body = response.body;
  answer.ends_with_connection = response.ends_with_connection;
  for (const http::HttpHeader& header : response.headers) {
    const CallHeaders& names = m_context.headers;
    if (header.name != names.worker_load && header.name != names.worker_id) {
      answer.headers.push_back(header);
    }
  }
  Finish(answer, reason);
}

void CallTask::AnswerFailure(const char* reason) {
  if (m_failure_response.has_value()) {
    AnswerWorkerResponse(*m_failure_response, reason);
  } else if (m_may_have_run) {
    Finish(http::HttpResponse{m_deadline_passed ? 504 : 502,
                              {{m_context.headers.request_id, m_terms.request_id}},
                              "",
                              false},
           reason);
  } else {
    Refuse(reason);
  }
}

void CallTask::Refuse(const char* reason) {
  const milliseconds wait =
      AdviseReturn(m_refusal_cause, m_terms.route.target_latency, m_context.random);
  Finish(http::HttpResponse{503,
                            {{m_context.headers.request_id, m_terms.request_id},
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
  m_second_opinion_timer.Stop();
  CancelAttempts();
  const Duration took = m_context.loop.Now() - m_terms.started_at;
  m_context.metrics
      .CounterOf("qh_calls_total", "status=\"" + std::to_string(response.status) + "\"")
      .Add();
  m_context.metrics.HistogramOf("qh_call_seconds", "service=\"" + m_terms.service + "\"")
      .Record(std::chrono::duration_cast<std::chrono::microseconds>(took));
  logging::LogDecision("call", "answer",
                       {{"request", m_terms.request_id},
                        {"status", std::to_string(response.status)},
                        {"reason", reason},
                        {"route", m_terms.route.name},
                        {"service", m_terms.service},
                        {"configuration", std::to_string(m_terms.configuration_version)},
                        {"attempts", std::to_string(m_attempts.size())},
                        {"ms", MillisSinceStart()}});
  m_exchange->Respond(response);
  m_exchange.reset();
  m_self.reset();
}

void CallTask::CancelAttempts() {
  for (Attempt& attempt : m_attempts) {
    if (attempt.in_progress) {
      Release(attempt, false, false);
    }
  }
}

bool CallTask::HasAttemptInProgress() const {
  return std::any_of(m_attempts.begin(), m_attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_progress; });
}

Duration CallTask::TimeLeft() const { return m_terms.deadline - m_context.loop.Now(); }

std::string CallTask::MillisSinceStart() const {
  return std::to_string(ToMillis(m_context.loop.Now() - m_terms.started_at));
}

}  // namespace qh::gateway
