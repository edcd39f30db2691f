#include "worker_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/gossip/crash_notices.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/logging/log.h"
#include "worker_observations.h"

namespace qh::entry {
namespace {

using routing::ObservationSource;
using routing::RequestOutcome;
using routing::WorkerObservation;
using routing::WorkerState;
using std::chrono::milliseconds;

/** Lifetime of a notice of a leaving worker; longer than the lag of the VM list. */
constexpr milliseconds kWorkerNoticeLifetime{60000};

/** Connections to one worker that break within this time count as one loss of the worker. */
constexpr milliseconds kLossWindow{1000};

/** Minimum time in state kLeaving before a worker that the VM list shows as live is probed. */
constexpr std::chrono::seconds kReturnProbeDelay{10};

constexpr milliseconds kProbeTimeout{1000};

/** Shorter than a probe turn (ClaimProbeTurn()), so that no VM misses its turn. */
constexpr milliseconds kMaintenanceInterval{250};

routing::WorkerTableOptions TableOptions(const vm_settings::EntryVmSettings& settings) {
  routing::WorkerTableOptions options;
  options.subset.vm_slot = settings.slot;
  options.subset.vm_count = settings.vm_count;
  return options;
}

}  // namespace

/** Connections to one worker and data about it that the WorkerTable does not hold. */
struct WorkerConnections {
  std::unique_ptr<http::HttpClient> client;
  limits::ConcurrencyLimit limit;
  /** Fingerprints of the requests in progress, by attempt number. */
  std::map<std::uint64_t, std::uint64_t> in_progress;
  /** Connections that break before this time belong to a loss that has already been reported. */
  TimePoint loss_reported_until;
  /** Whether the latest VM list shows the worker as live. */
  bool listed_live = false;
  /** Number of the latest probe turn (ClaimProbeTurn()) in which this VM probed the worker. */
  std::uint64_t last_probe_turn = 0;
};

/** An attempt in progress. */
struct ActiveAttempt {
  AttemptRequest attempt;
  WorkerPool::AttemptCallback callback;
  std::shared_ptr<http::HttpCall> call;
};

struct WorkerPool::Impl : std::enable_shared_from_this<WorkerPool::Impl> {
  net::EventLoop& loop;
  const vm_settings::EntryVmSettings& settings;
  metrics::MetricsRegistry& metrics;
  EventLog& events;
  RandomGenerator& generator;
  routing::WorkerTable table;
  routing::RouteClassifier classifier;
  std::unique_ptr<routing::WorkerSelector> selector;
  quarantine::CrashSuspects suspects;
  std::map<std::string, WorkerConnections, std::less<>> connections;
  std::set<std::string, std::less<>> services;
  NoticePublisher publish;
  std::function<void(const std::string&)> on_capacity;
  net::Timer maintenance_timer;
  std::uint64_t next_attempt = 1;
  std::map<std::uint64_t, ActiveAttempt> attempts;
  metrics::Counter& probes;
  metrics::Counter& idle_discards;
  std::shared_ptr<http::MemoryBudget> message_memory;

  Impl(net::EventLoop& event_loop, const vm_settings::EntryVmSettings& vm_settings,
       metrics::MetricsRegistry& registry, EventLog& event_log, RandomGenerator& random,
       std::shared_ptr<http::MemoryBudget> memory)
      : loop(event_loop),
        settings(vm_settings),
        metrics(registry),
        events(event_log),
        generator(random),
        table(TableOptions(vm_settings)),
        maintenance_timer(event_loop, [this] { RunMaintenance(); }),
        probes(registry.CounterOf("qh_probes_total")),
        idle_discards(registry.CounterOf("qh_idle_connections_discarded_total")),
        message_memory(std::move(memory)) {
    routing::SelectorOptions options;
    options.own_zone = settings.zone;
    selector = routing::MakeWorkerSelector(ToSelectionPolicy(settings.policy), options);
    maintenance_timer.StartRepeating(kMaintenanceInterval);
  }

  void ApplyList(const std::vector<ListedWorker>& listed) {
    const TimePoint now = loop.Now();
    std::set<std::string, std::less<>> listed_ids;
    for (const ListedWorker& worker : listed) {
      listed_ids.insert(worker.info.id);
      ApplyListed(worker, now);
    }
    for (auto& [id, connection] : connections) {
      if (!listed_ids.contains(id)) {
        connection.listed_live = false;
        ApplyObservation(id, {WorkerState::kGone, ObservationSource::kVmList, UnixNow(), ""});
      }
    }
  }

  void ApplyListed(const ListedWorker& worker, TimePoint now) {
    const routing::Worker* existing = table.Find(worker.info.id);
    const bool known_leaving = existing != nullptr && existing->state == WorkerState::kLeaving;
    WorkerConnections& connection = GetOrCreateConnections(worker.info);
    connection.listed_live = !worker.leaving;
    if (known_leaving && !worker.leaving) {
      // The VM list lags, so its "live" alone does not end a leave: a probe must confirm it
      // (RunMaintenance()).
      return;
    }
    const WorkerState state = worker.leaving ? WorkerState::kLeaving : WorkerState::kLive;
    const bool changed =
        table.Upsert(worker.info, {state, ObservationSource::kVmList, UnixNow(), ""}, now);
    services.insert(worker.info.service);
    if (changed) {
      ReportStateChange(worker.info.id, ObservationSource::kVmList);
    }
  }

  WorkerConnections& GetOrCreateConnections(const routing::WorkerInfo& info) {
    const auto found = connections.find(info.id);
    if (found == connections.end()) {
      return connections.emplace(info.id, MakeConnections(info)).first->second;
    }
    WorkerConnections& connection = found->second;
    // Destroying a client drops its calls, so a client in use is not replaced until they have
    // ended.
    if (connection.client->Peer() != info.endpoint && connection.in_progress.empty()) {
      connection.client = MakeClient(info.endpoint);
    }
    return connection;
  }

  WorkerConnections MakeConnections(const routing::WorkerInfo& info) {
    limits::ConcurrencyLimitOptions options;
    options.max = static_cast<std::uint32_t>(settings.connections_per_worker);
    options.initial = std::min(options.initial, options.max);
    return {MakeClient(info.endpoint), limits::ConcurrencyLimit(options), {}, {}, false, 0};
  }

  std::unique_ptr<http::HttpClient> MakeClient(const IpEndpoint& endpoint) {
    http::HttpClientOptions options;
    // Bounds memory use; contracts set lower limits.
    options.max_response_bytes = kMaxResponseBytes;
    options.memory_budget = message_memory;
    return std::make_unique<http::HttpClient>(loop, endpoint, options);
  }

  static constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;

  void ApplyObservation(const std::string& id, const WorkerObservation& observation) {
    if (table.Apply(id, observation, loop.Now())) {
      ReportStateChange(id, observation.source);
    }
  }

  void ReportStateChange(const std::string& id, ObservationSource source) {
    const routing::Worker* worker = table.Find(id);
    const char* state = routing::kWorkerStateNames.NameOf(worker->state);
    const char* source_name = routing::kObservationSourceNames.NameOf(source);
    logging::LogChange("worker_pool", "worker state",
                       {{"worker", id},
                        {"service", worker->info.service},
                        {"state", state},
                        {"source", source_name}});
    events.Add("worker_state", "", "", id, std::string(state) + " by " + source_name);
    const bool observed_by_this_vm = source == ObservationSource::kResponseHeader ||
                                     source == ObservationSource::kHealthEndpoint;
    if (observed_by_this_vm && worker->state == WorkerState::kLeaving) {
      Publish(membership::NoticeKind::kWorkerLeaving, id, worker->state_stamp);
    }
    if (worker->state == WorkerState::kLive && on_capacity != nullptr) {
      on_capacity(worker->info.service);
    }
  }

  void Publish(membership::NoticeKind kind, const std::string& worker, UnixMicros stamp) {
    if (publish != nullptr) {
      publish({kind, worker, "", 0, stamp, kWorkerNoticeLifetime});
    }
  }

  void ApplyNotice(const membership::Notice& notice) {
    if (notice.kind == membership::NoticeKind::kWorkerLeaving) {
      ApplyObservation(notice.subject,
                       {WorkerState::kLeaving, ObservationSource::kNotice, notice.stamp_us, ""});
      return;
    }
    for (const membership::Notice& follow_up :
         gossip::ApplyCrashNotice(suspects, notice, loop.Now(), UnixNow())) {
      PublishCrashFinding(follow_up);
    }
  }

  void PublishCrashFinding(const membership::Notice& notice) {
    logging::LogChange("worker_pool", "crash finding",
                       {{"kind", membership::kNoticeKindNames.NameOf(notice.kind)},
                        {"fingerprint", notice.subject},
                        {"detail", notice.detail}});
    events.Add("crash_finding", "", "", notice.detail, notice.subject);
    if (publish != nullptr) {
      publish(notice);
    }
  }

  std::optional<std::string> Select(const std::string& service, routing::WorkClass work_class,
                                    std::span<const std::string> excluded) {
    routing::SelectionRequest request;
    request.work_class = work_class;
    request.reserved_share = classifier.ReservedShare(service, loop.Now());
    request.excluded = excluded;
    const routing::Worker* worker =
        selector->Select(table.Candidates(service), request, loop.Now(), generator);
    return worker == nullptr ? std::nullopt : std::optional<std::string>(worker->info.id);
  }

  std::uint64_t StartAttempt(AttemptRequest attempt, AttemptCallback callback) {
    const std::uint64_t number = next_attempt++;
    WorkerConnections& connection = connections.find(attempt.worker)->second;
    connection.in_progress.emplace(number, attempt.fingerprint);
    table.Started(attempt.worker, attempt.profile.work_class);
    const auto in_progress_at_start =
        static_cast<std::uint32_t>(table.Find(attempt.worker)->InProgress());
    const TimePoint started = loop.Now();
    const http::HttpRequest request = std::move(attempt.request);
    ActiveAttempt& active = attempts[number];
    active.attempt = std::move(attempt);
    active.callback = std::move(callback);
    http::HttpClient::Callback on_call_end = [self = weak_from_this(), number, started,
                                              in_progress_at_start](http::HttpCallResult result) {
      if (const std::shared_ptr<Impl> impl = self.lock()) {
        impl->OnCallEnd(number, started, in_progress_at_start, std::move(result));
      }
    };
    active.call =
        active.attempt.new_connection
            ? connection.client->StartOnNewConnection(request, active.attempt.timeout,
                                                      std::move(on_call_end))
            : connection.client->Start(request, active.attempt.timeout, std::move(on_call_end));
    return number;
  }

  void OnCallEnd(std::uint64_t number, TimePoint started, std::uint32_t in_progress_at_start,
                 http::HttpCallResult result) {
    const auto found = attempts.find(number);
    if (found == attempts.end()) {
      return;
    }
    const ActiveAttempt active = std::move(found->second);
    attempts.erase(found);
    active.callback(
        Finish(number, started, in_progress_at_start, active.attempt, std::move(result)));
    on_capacity(active.attempt.route.service);
  }

  void CancelAttempt(std::uint64_t number) {
    const auto found = attempts.find(number);
    if (found == attempts.end()) {
      return;
    }
    const ActiveAttempt active = std::move(found->second);
    attempts.erase(found);
    active.call->Cancel();
    connections.find(active.attempt.worker)->second.in_progress.erase(number);
    table.Finished(active.attempt.worker,
                   {active.attempt.profile.work_class, RequestOutcome::kCancelled, {}, {}},
                   loop.Now());
    on_capacity(active.attempt.route.service);
  }

  AttemptResult Finish(std::uint64_t number, TimePoint started, std::uint32_t in_progress_at_start,
                       const AttemptRequest& attempt, http::HttpCallResult result) {
    AttemptResult attempt_result;
    attempt_result.latency = loop.Now() - started;
    const bool closed_by_peer = std::holds_alternative<http::HttpCallFailure>(result) &&
                                std::get<http::HttpCallFailure>(result).closed_by_peer;
    Classify(attempt, std::move(result), attempt_result);
    WorkerConnections& connection = connections.find(attempt.worker)->second;
    if (closed_by_peer && attempt_result.end != AttemptEnd::kNotConnected) {
      ReportWorkerLoss(attempt.worker, connection);
    }
    connection.in_progress.erase(number);
    RecordResult(attempt, attempt_result, in_progress_at_start, connection);
    return attempt_result;
  }

  static void Classify(const AttemptRequest& attempt, http::HttpCallResult result,
                       AttemptResult& attempt_result) {
    if (auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
      attempt_result.error = std::move(failure->error);
      if (failure->stage == http::CallStage::kNotConnected) {
        attempt_result.end = AttemptEnd::kNotConnected;
      } else if (attempt_result.error.code == ErrorCode::kTimeout) {
        attempt_result.end = AttemptEnd::kTimedOut;
      } else {
        attempt_result.end = failure->stage == http::CallStage::kResponseStarted
                                 ? AttemptEnd::kInvalidResponse
                                 : AttemptEnd::kFailed;
      }
      return;
    }
    attempt_result.response = std::move(std::get<http::HttpResponse>(result));
    const http::HttpHeaders& headers = attempt_result.response.headers;
    if (http::FindHeader(headers, "x-qh-request-id") != attempt.request_id) {
      attempt_result.end = AttemptEnd::kInvalidResponse;
      attempt_result.error = {ErrorCode::kProtocol, "match response", attempt.worker,
                              "the response names another request"};
    } else if (attempt_result.response.body.size() > attempt.max_response_bytes) {
      attempt_result.end = AttemptEnd::kInvalidResponse;
      attempt_result.error = {ErrorCode::kExhausted, "read response body", attempt.worker,
                              "the response is longer than the contract allows"};
    } else if (attempt_result.response.status == 503 &&
               http::FindHeader(headers, "x-qh-not-run") == "1") {
      attempt_result.end = AttemptEnd::kShed;
    } else {
      attempt_result.end = AttemptEnd::kAnswered;
    }
  }

  /**
   * Records the requests in progress at a lost worker as suspects: one of them may have crashed it.
   */
  void ReportWorkerLoss(const std::string& worker, WorkerConnections& connection) {
    const TimePoint now = loop.Now();
    if (now < connection.loss_reported_until) {
      return;
    }
    connection.loss_reported_until = now + kLossWindow;
    std::vector<quarantine::Fingerprint> fingerprints;
    for (const auto& [number, fingerprint] : connection.in_progress) {
      fingerprints.push_back(fingerprint);
    }
    PublishCrashFindings(suspects.OnWorkerLost(worker, fingerprints, now));
  }

  void PublishCrashFindings(const quarantine::CrashFindings& findings) {
    for (const membership::Notice& notice : gossip::ToNotices(findings, UnixNow())) {
      PublishCrashFinding(notice);
    }
  }

  void RecordResult(const AttemptRequest& attempt, const AttemptResult& attempt_result,
                    std::uint32_t in_progress_at_start, WorkerConnections& connection) {
    const TimePoint now = loop.Now();
    const RequestOutcome outcome = OutcomeOf(attempt_result.end, attempt_result.response.status);
    table.Finished(
        attempt.worker,
        {attempt.profile.work_class, outcome, attempt_result.latency, attempt.profile.median}, now);
    if (outcome == RequestOutcome::kSucceeded || outcome == RequestOutcome::kTimedOut) {
      classifier.Record(attempt.route, attempt_result.latency, now);
    }
    if (outcome == RequestOutcome::kSucceeded) {
      PublishCrashFindings(suspects.OnSucceeded(attempt.fingerprint, now));
      connection.limit.OnResponse(attempt_result.latency, attempt.profile.median,
                                  in_progress_at_start, now);
    } else if (outcome == RequestOutcome::kShed || outcome == RequestOutcome::kTimedOut) {
      connection.limit.OnOverload(now);
    }
    table.SetInProgressLimit(attempt.worker, static_cast<int>(connection.limit.Limit()));
    if (outcome == RequestOutcome::kTimedOut) {
      // Whatever silenced this connection may have silenced the idle connections to the worker too.
      connection.client->DiscardIdleConnections();
      idle_discards.Add();
    }
    ApplyResponseHeaders(attempt.worker, attempt_result);
  }

  void ApplyResponseHeaders(const std::string& worker, const AttemptResult& attempt_result) {
    if (attempt_result.end != AttemptEnd::kAnswered && attempt_result.end != AttemptEnd::kShed) {
      return;
    }
    const http::HttpHeaders& headers = attempt_result.response.headers;
    if (const auto load = http::FindHeader(headers, "x-qh-load")) {
      if (const auto report = ParseLoad(*load, loop.Now())) {
        table.Report(worker, *report);
      }
    }
    if (http::FindHeader(headers, "x-qh-draining") == "1") {
      ApplyObservation(worker,
                       {WorkerState::kLeaving, ObservationSource::kResponseHeader, UnixNow(), ""});
    }
  }

  void RunMaintenance() {
    const TimePoint now = loop.Now();
    table.EraseGone(now);
    std::erase_if(connections, [this](const auto& entry) {
      return table.Find(entry.first) == nullptr && entry.second.in_progress.empty();
    });
    for (auto& [id, connection] : connections) {
      const routing::Worker* worker = table.Find(id);
      // Live workers are probed too, because an idle worker that starts to leave can report this
      // only at its health endpoint.
      const bool is_live = worker != nullptr && worker->state == WorkerState::kLive;
      const bool may_have_returned = worker != nullptr && worker->state == WorkerState::kLeaving &&
                                     connection.listed_live &&
                                     now - worker->state_applied >= kReturnProbeDelay;
      if ((is_live || may_have_returned) && ClaimProbeTurn(id, connection)) {
        Probe(id, connection);
      }
    }
  }

  /**
   * If it is this VM's turn to probe the worker, records the turn and returns true. The VMs share
   * the worker's probe budget: turns pass from slot to slot by the wall clock, so that the probes
   * of all VMs are evenly spaced.
   */
  bool ClaimProbeTurn(const std::string& id, WorkerConnections& connection) const {
    if (settings.probe_budget <= 0) {
      return false;
    }
    const std::chrono::duration<double> unix_time = std::chrono::microseconds(UnixNow());
    const std::uint64_t turn =
        static_cast<std::uint64_t>(unix_time.count() * settings.probe_budget) +
        HashBytes(id) % static_cast<std::uint64_t>(settings.vm_count);
    if (turn == connection.last_probe_turn ||
        turn % static_cast<std::uint64_t>(settings.vm_count) !=
            static_cast<std::uint64_t>(settings.slot)) {
      return false;
    }
    connection.last_probe_turn = turn;
    return true;
  }

  void Probe(const std::string& id, WorkerConnections& connection) {
    probes.Add();
    connection.client->StartOnNewConnection(
        {"GET", "/health", {}, ""}, kProbeTimeout,
        [self = weak_from_this(), id](const http::HttpCallResult& result) {
          const std::shared_ptr<Impl> impl = self.lock();
          const auto* response = std::get_if<http::HttpResponse>(&result);
          if (impl != nullptr && response != nullptr) {
            impl->OnHealth(id, *response);
          }
        });
  }

  void OnHealth(const std::string& id, const http::HttpResponse& response) {
    const routing::Worker* worker = table.Find(id);
    if (worker == nullptr) {
      return;
    }
    if (IsDrainingResponse(response)) {
      ApplyObservation(id,
                       {WorkerState::kLeaving, ObservationSource::kHealthEndpoint, UnixNow(), ""});
    } else if (response.status == 200 && worker->state == WorkerState::kLeaving) {
      ApplyObservation(id, {WorkerState::kLive, ObservationSource::kVmList, UnixNow(), ""});
    }
  }
};

WorkerPool::WorkerPool(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings,
                       metrics::MetricsRegistry& metrics, EventLog& events,
                       RandomGenerator& generator,
                       std::shared_ptr<http::MemoryBudget> message_memory)
    : m_impl(std::make_shared<Impl>(loop, settings, metrics, events, generator,
                                    std::move(message_memory))) {}

WorkerPool::~WorkerPool() = default;

void WorkerPool::SetNoticePublisher(NoticePublisher publisher) {
  m_impl->publish = std::move(publisher);
}

void WorkerPool::SetCapacityCallback(std::function<void(const std::string&)> callback) {
  m_impl->on_capacity = std::move(callback);
}

void WorkerPool::ApplyList(const std::vector<ListedWorker>& listed) { m_impl->ApplyList(listed); }

void WorkerPool::ApplyNotice(const membership::Notice& notice) { m_impl->ApplyNotice(notice); }

bool WorkerPool::HasService(const std::string& service) const {
  return m_impl->services.contains(service);
}

bool WorkerPool::HasLiveWorker(const std::string& service) const {
  return !m_impl->table.Candidates(service).empty();
}

std::optional<std::string> WorkerPool::Select(const std::string& service,
                                              routing::WorkClass work_class,
                                              std::span<const std::string> excluded) {
  return m_impl->Select(service, work_class, excluded);
}

std::uint64_t WorkerPool::StartAttempt(AttemptRequest request, AttemptCallback callback) {
  return m_impl->StartAttempt(std::move(request), std::move(callback));
}

void WorkerPool::CancelAttempt(std::uint64_t number) { m_impl->CancelAttempt(number); }

std::optional<Duration> WorkerPool::QuarantineLeft(std::uint64_t fingerprint) const {
  return m_impl->suspects.QuarantineLeft(fingerprint, m_impl->loop.Now());
}

routing::RouteProfile WorkerPool::ProfileOf(const routing::Route& route) const {
  return m_impl->classifier.ProfileOf(route);
}

std::size_t WorkerPool::InProgress() const noexcept { return m_impl->attempts.size(); }

}  // namespace qh::entry
