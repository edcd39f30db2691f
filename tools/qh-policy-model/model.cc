#include "model.h"

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "quetzalhinge/routing/route_classifier.h"
#include "quetzalhinge/routing/worker_table.h"

namespace qh::policy_model {
namespace {

using routing::RequestOutcome;
using routing::WorkClass;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr int kVmCount = 15;
constexpr int kWorkerCount = 8;
constexpr int kSlotsPerWorker = 6;
constexpr int kZoneCount = 3;
constexpr double kShortMeanSeconds = 0.005;
constexpr double kLongMeanSeconds = 0.2;
/** Standard deviation of the logarithm of the service times, which are log-normal. */
constexpr double kServiceTimeSigma = 0.5;
constexpr Duration kSameZoneDelay = microseconds(100);
constexpr Duration kOtherZoneDelay = microseconds(1500);
/** Time from the arrival of a call until its caller gives up. */
constexpr Duration kDeadline = std::chrono::seconds(2);
/** Time after which a worker that fails fast responds. */
constexpr Duration kFastFailureTime = microseconds(200);
/** The load that a worker reports with a response is between 50 and 500 ms old. */
constexpr Duration kReportDelay = milliseconds(50);
constexpr double kMaxReportIntervalSeconds = 0.45;
constexpr double kWarmUpSeconds = 5;
/** Retry budget: each new call adds a fraction of a token up to a maximum, each retry costs one. */
constexpr double kRetryTokensPerCall = 0.1;
constexpr double kMaxRetryTokens = 10;
/** Index of the worker that is slowed or fails fast. */
constexpr int kFaultyWorkerIndex = 0;
const TimePoint kStart{std::chrono::hours(1)};

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

/** Virtual clock with a queue of events, which run in order of time and then of scheduling. */
class EventScheduler {
 public:
  TimePoint Now() const { return m_now; }

  void ScheduleAfter(Duration delay, std::function<void()> action) {
    m_events.push({m_now + delay, m_sequence++, std::move(action)});
  }

  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.action();
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };

  TimePoint m_now = kStart;
  std::uint64_t m_sequence = 0;
  std::priority_queue<Event> m_events;
};

struct Call {
  bool is_long = false;
  bool measured = false;
  bool completed = false;
  TimePoint arrived_at;
  routing::Route route;
  WorkClass work_class = WorkClass::kUnknown;
  std::vector<std::string> tried_workers;
};
using CallHandle = std::shared_ptr<Call>;

/** One attempt to run a call on a worker. */
struct Attempt {
  CallHandle call;
  bool ended = false;
  TimePoint sent_at;
  WorkClass work_class = WorkClass::kUnknown;
  Duration expected_duration{};
  Duration network_delay{};
  std::function<void(bool succeeded)> on_response;
};
using AttemptHandle = std::shared_ptr<Attempt>;

/** State shared by all entry VMs and workers of a run. */
struct Simulation {
  Scenario scenario;
  RunOptions options;
  EventScheduler scheduler;
  RandomGenerator generator;
  RunResult result;

  TimePoint MeasurementStart() const { return kStart + ToDuration(kWarmUpSeconds); }
  TimePoint MeasurementEnd() const {
    return MeasurementStart() + ToDuration(options.measured_seconds);
  }
  bool IsFaultActive() const { return scheduler.Now() >= MeasurementStart(); }
};

/** A worker with a fixed number of slots, a FIFO queue and a load report that lags. */
class ModelWorker {
 public:
  ModelWorker(Simulation& simulation, int index)
      : m_simulation(simulation), m_is_faulty(index == kFaultyWorkerIndex) {
    SampleLoad();
  }

  void Receive(const AttemptHandle& attempt) {
    if (m_is_faulty && m_simulation.scenario.fails_fast && m_simulation.IsFaultActive()) {
      m_simulation.scheduler.ScheduleAfter(kFastFailureTime,
                                           [attempt] { attempt->on_response(false); });
      return;
    }
    m_queue.push_back(attempt);
    StartQueuedAttempts();
  }

  int ReportedLoad() const { return m_reported_load; }

 private:
  void StartQueuedAttempts() {
    while (m_busy_slots < kSlotsPerWorker && !m_queue.empty()) {
      const AttemptHandle attempt = m_queue.front();
      m_queue.pop_front();
      if (attempt->ended) {  // The caller has given up, so the slot is not used.
        continue;
      }
      ++m_busy_slots;
      m_simulation.scheduler.ScheduleAfter(ServiceTime(*attempt->call), [this, attempt] {
        --m_busy_slots;
        attempt->on_response(true);
        StartQueuedAttempts();
      });
    }
  }

  Duration ServiceTime(const Call& call) {
    const double mean = call.is_long ? kLongMeanSeconds : kShortMeanSeconds;
    std::lognormal_distribution<double> service_seconds(
        std::log(mean) - kServiceTimeSigma * kServiceTimeSigma / 2, kServiceTimeSigma);
    const bool slowed = m_is_faulty && m_simulation.IsFaultActive();
    return ToDuration(service_seconds(m_simulation.generator) *
                      (slowed ? m_simulation.scenario.slow_factor : 1.0));
  }

  /** Samples the load at random intervals. Each sample becomes the reported load after a delay. */
  void SampleLoad() {
    const int load = m_busy_slots + static_cast<int>(m_queue.size());
    m_simulation.scheduler.ScheduleAfter(kReportDelay, [this, load] { m_reported_load = load; });
    std::uniform_real_distribution<double> interval(0, kMaxReportIntervalSeconds);
    m_simulation.scheduler.ScheduleAfter(ToDuration(interval(m_simulation.generator)),
                                         [this] { SampleLoad(); });
  }

  Simulation& m_simulation;
  bool m_is_faulty;
  int m_busy_slots = 0;
  int m_reported_load = 0;
  std::deque<AttemptHandle> m_queue;
};

/** An entry VM. It classifies and queues calls, selects workers, and sends and retries attempts. */
class ModelVm {
 public:
  ModelVm(Simulation& simulation, std::vector<std::unique_ptr<ModelWorker>>& workers, int index,
          routing::SelectionPolicy policy)
      : m_simulation(simulation), m_workers(workers), m_zone(ZoneOf(index)), m_table({}) {
    routing::SelectorOptions options;
    options.own_zone = m_zone;
    m_selector = routing::MakeWorkerSelector(policy, options);
    for (int i = 0; i < kWorkerCount; ++i) {
      m_table.Upsert({std::to_string(i), kService, {"127.0.0.1", 1}, ZoneOf(i), kSlotsPerWorker},
                     {}, kStart - std::chrono::minutes(1));
    }
    ScheduleArrival();
  }

 private:
  static constexpr const char* kService = "model";

  static std::string ZoneOf(int index) { return "z" + std::to_string(index % kZoneCount); }

  void ScheduleArrival() {
    const double long_fraction = m_simulation.scenario.long_call_share;
    const double mean_service_seconds =
        long_fraction * kLongMeanSeconds + (1 - long_fraction) * kShortMeanSeconds;
    const double rate = m_simulation.options.utilization * kWorkerCount * kSlotsPerWorker /
                        mean_service_seconds / kVmCount;
    std::exponential_distribution<double> interval(rate);
    m_simulation.scheduler.ScheduleAfter(ToDuration(interval(m_simulation.generator)), [this] {
      OnArrival();
      ScheduleArrival();
    });
  }

  void OnArrival() {
    const TimePoint now = m_simulation.scheduler.Now();
    const auto call = std::make_shared<Call>();
    call->arrived_at = now;
    call->measured = now >= m_simulation.MeasurementStart() && now < m_simulation.MeasurementEnd();
    call->is_long =
        std::bernoulli_distribution(m_simulation.scenario.long_call_share)(m_simulation.generator);
    call->route = {kService, "GET", call->is_long ? "/ledger" : "/stock"};
    m_retry_tokens = std::min(kMaxRetryTokens, m_retry_tokens + kRetryTokensPerCall);
    m_simulation.scheduler.ScheduleAfter(kDeadline, [this, call] { Complete(*call, false); });
    Enqueue(call);
  }

  void Enqueue(const CallHandle& call) {
    call->work_class = m_classifier.ProfileOf(call->route).work_class;
    m_queues[static_cast<std::size_t>(call->work_class)].push_back(call);
    Dispatch();
  }

  void Dispatch() {
    for (auto& queue : m_queues) {
      while (!queue.empty() && (queue.front()->completed || TrySend(queue.front()))) {
        queue.pop_front();
      }
    }
  }

  /** Sends the call to a worker. Returns false if no worker can accept it now. */
  bool TrySend(const CallHandle& call) {
    const TimePoint now = m_simulation.scheduler.Now();
    const routing::SelectionRequest request{
        call->work_class, m_classifier.ReservedShare(kService, now), call->tried_workers};
    const routing::Worker* worker =
        m_selector->Select(m_table.Candidates(kService), request, now, m_simulation.generator);
    if (worker == nullptr || !m_table.Started(worker->info.id, call->work_class)) {
      return false;
    }
    const std::string id = worker->info.id;
    call->tried_workers.push_back(id);
    const auto attempt = std::make_shared<Attempt>();
    attempt->call = call;
    attempt->sent_at = now;
    attempt->work_class = call->work_class;
    attempt->expected_duration = m_classifier.ProfileOf(call->route).median;
    attempt->network_delay = worker->info.zone == m_zone ? kSameZoneDelay : kOtherZoneDelay;
    ModelWorker& target = *m_workers[std::stoul(id)];
    attempt->on_response = [this, id, &target,
                            weak_attempt = std::weak_ptr(attempt)](bool succeeded) {
      const auto locked_attempt = weak_attempt.lock();
      m_simulation.scheduler.ScheduleAfter(
          locked_attempt->network_delay,
          [this, id, locked_attempt, succeeded, load = target.ReportedLoad()] {
            if (!locked_attempt->ended) {
              m_table.Report(id, {load, kSlotsPerWorker, m_simulation.scheduler.Now()});
              FinishAttempt(*locked_attempt, id,
                            succeeded ? RequestOutcome::kSucceeded : RequestOutcome::kFailed);
            }
          });
    };
    m_simulation.scheduler.ScheduleAfter(attempt->network_delay,
                                         [&target, attempt] { target.Receive(attempt); });
    m_simulation.scheduler.ScheduleAfter(call->arrived_at + kDeadline - now, [this, id, attempt] {
      if (!attempt->ended) {
        FinishAttempt(*attempt, id, RequestOutcome::kTimedOut);
      }
    });
    return true;
  }

  void FinishAttempt(Attempt& attempt, const std::string& id, RequestOutcome outcome) {
    const TimePoint now = m_simulation.scheduler.Now();
    attempt.ended = true;
    m_table.Finished(
        id, {attempt.work_class, outcome, now - attempt.sent_at, attempt.expected_duration}, now);
    if (outcome != RequestOutcome::kFailed) {
      m_classifier.Record(attempt.call->route, now - attempt.sent_at, now);
      Complete(*attempt.call, outcome == RequestOutcome::kSucceeded);
    } else if (m_retry_tokens >= 1 && attempt.call->tried_workers.size() < 2) {
      m_retry_tokens -= 1;
      Enqueue(attempt.call);
    } else {
      Complete(*attempt.call, false);
    }
    Dispatch();
  }

  void Complete(Call& call, bool succeeded) {
    if (std::exchange(call.completed, true) || !call.measured) {
      return;
    }
    RunResult& result = m_simulation.result;
    const Duration latency = succeeded ? m_simulation.scheduler.Now() - call.arrived_at : kDeadline;
    (call.is_long ? result.long_latency : result.short_latency)
        .Record(std::chrono::duration_cast<microseconds>(latency));
    ++result.calls;
    result.errors += succeeded ? 0 : 1;
  }

  Simulation& m_simulation;
  std::vector<std::unique_ptr<ModelWorker>>& m_workers;
  std::string m_zone;
  routing::WorkerTable m_table;
  routing::RouteClassifier m_classifier;
  std::unique_ptr<routing::WorkerSelector> m_selector;
  std::array<std::deque<CallHandle>, routing::kWorkClasses> m_queues;
  double m_retry_tokens = kMaxRetryTokens;
};

}  // namespace

RunResult RunModel(const Scenario& scenario, routing::SelectionPolicy policy,
                   const RunOptions& options) {
  Simulation simulation{scenario, options, {}, RandomGenerator(options.seed), {}};
  std::vector<std::unique_ptr<ModelWorker>> workers;
  for (int i = 0; i < kWorkerCount; ++i) {
    workers.push_back(std::make_unique<ModelWorker>(simulation, i));
  }
  std::vector<std::unique_ptr<ModelVm>> vms;
  for (int i = 0; i < kVmCount; ++i) {
    vms.push_back(std::make_unique<ModelVm>(simulation, workers, i, policy));
  }
  simulation.scheduler.RunUntil(simulation.MeasurementEnd() + kDeadline);
  return simulation.result;
}

}  // namespace qh::policy_model
