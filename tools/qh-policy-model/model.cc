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

constexpr int kVms = 15;
constexpr int kWorkers = 8;
constexpr int kSlots = 6;
constexpr int kZones = 3;
constexpr double kShortMeanS = 0.005;
constexpr double kLongMeanS = 0.2;
/** Shape of the log-normal service times. */
constexpr double kSigma = 0.5;
constexpr Duration kSameZoneDelay = microseconds(100);
constexpr Duration kOtherZoneDelay = microseconds(1500);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kFailTime = microseconds(200);
/** Load figures are 50 to 500 ms old when a response carries them. */
constexpr Duration kReportDelay = milliseconds(50);
constexpr double kReportIntervalS = 0.45;
constexpr double kWarmUpS = 5;
/** Retries as a part of first attempts, and how many may be saved up. */
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10;
/** The worker that is slowed or fails fast. */
constexpr int kFaultyWorker = 0;
const TimePoint kStart{std::chrono::hours(1)};

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

/** Virtual time and what happens in it. */
class Schedule {
 public:
  TimePoint Now() const { return m_now; }

  void After(Duration delay, std::function<void()> action) {
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
  bool closed = false;
  TimePoint arrived;
  routing::Route route;
  WorkClass work_class = WorkClass::kUnknown;
  std::vector<std::string> tried;
};
using CallHandle = std::shared_ptr<Call>;

/** One sending of a call to a worker. */
struct Attempt {
  CallHandle call;
  bool ended = false;
  TimePoint sent;
  WorkClass work_class = WorkClass::kUnknown;
  Duration expected{};
  Duration delay{};
  std::function<void(bool succeeded)> answer;
};
using AttemptHandle = std::shared_ptr<Attempt>;

struct Surroundings {
  Scenario scenario;
  RunOptions options;
  Schedule schedule;
  RandomGenerator generator;
  RunResult result;

  TimePoint MeasuredFrom() const { return kStart + ToDuration(kWarmUpS); }
  TimePoint MeasuredTo() const { return MeasuredFrom() + ToDuration(options.seconds); }
  bool IsFaultActive() const { return schedule.Now() >= MeasuredFrom(); }
};

/** A worker with slots, one queue in order of arrival and a load figure that lags. */
class ModelWorker {
 public:
  ModelWorker(Surroundings& world, int index)
      : m_world(world), m_is_faulty(index == kFaultyWorker) {
    TakeReport();
  }

  void Receive(const AttemptHandle& attempt) {
    if (m_is_faulty && m_world.scenario.fails_fast && m_world.IsFaultActive()) {
      m_world.schedule.After(kFailTime, [attempt] { attempt->answer(false); });
      return;
    }
    m_waiting.push_back(attempt);
    RunNext();
  }

  int ReportedLoad() const { return m_reported; }

 private:
  void RunNext() {
    while (m_running < kSlots && !m_waiting.empty()) {
      const AttemptHandle attempt = m_waiting.front();
      m_waiting.pop_front();
      if (attempt->ended) {
        continue;
      }
      ++m_running;
      m_world.schedule.After(ServiceTime(*attempt->call), [this, attempt] {
        --m_running;
        attempt->answer(true);
        RunNext();
      });
    }
  }

  Duration ServiceTime(const Call& call) {
    const double mean = call.is_long ? kLongMeanS : kShortMeanS;
    std::lognormal_distribution<double> time(std::log(mean) - kSigma * kSigma / 2, kSigma);
    const bool slowed = m_is_faulty && m_world.IsFaultActive();
    return ToDuration(time(m_world.generator) * (slowed ? m_world.scenario.slow_factor : 1.0));
  }

  void TakeReport() {
    const int load = m_running + static_cast<int>(m_waiting.size());
    m_world.schedule.After(kReportDelay, [this, load] { m_reported = load; });
    std::uniform_real_distribution<double> interval(0, kReportIntervalS);
    m_world.schedule.After(ToDuration(interval(m_world.generator)), [this] { TakeReport(); });
  }

  Surroundings& m_world;
  bool m_is_faulty;
  int m_running = 0;
  int m_reported = 0;
  std::deque<AttemptHandle> m_waiting;
};

/** An entry VM: classifies, queues, selects, sends, retries. */
class ModelVm {
 public:
  ModelVm(Surroundings& world, std::vector<std::unique_ptr<ModelWorker>>& workers, int index,
          routing::SelectionPolicy policy)
      : m_world(world), m_workers(workers), m_zone(ZoneOf(index)), m_table({}) {
    routing::SelectorOptions options;
    options.own_zone = m_zone;
    m_selector = routing::MakeWorkerSelector(policy, options);
    for (int i = 0; i < kWorkers; ++i) {
      m_table.Upsert({std::to_string(i), kService, {"127.0.0.1", 1}, ZoneOf(i), kSlots}, {},
                     kStart - std::chrono::minutes(1));
    }
    ScheduleArrival();
  }

 private:
  static constexpr const char* kService = "model";

  static std::string ZoneOf(int index) { return "z" + std::to_string(index % kZones); }

  void ScheduleArrival() {
    const double long_part = m_world.scenario.long_calls;
    const double work_s = long_part * kLongMeanS + (1 - long_part) * kShortMeanS;
    const double rate = m_world.options.utilization * kWorkers * kSlots / work_s / kVms;
    std::exponential_distribution<double> interval(rate);
    m_world.schedule.After(ToDuration(interval(m_world.generator)), [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive() {
    const TimePoint now = m_world.schedule.Now();
    const auto call = std::make_shared<Call>();
    call->arrived = now;
    call->measured = now >= m_world.MeasuredFrom() && now < m_world.MeasuredTo();
    call->is_long = std::bernoulli_distribution(m_world.scenario.long_calls)(m_world.generator);
    call->route = {kService, "GET", call->is_long ? "/ledger" : "/stock"};
    m_retry_tokens = std::min(kRetryBurst, m_retry_tokens + kRetryShare);
    m_world.schedule.After(kDeadline, [this, call] { Close(*call, false); });
    Enqueue(call);
  }

  void Enqueue(const CallHandle& call) {
    call->work_class = m_classifier.ProfileOf(call->route).work_class;
    m_queues[static_cast<std::size_t>(call->work_class)].push_back(call);
    Dispatch();
  }

  void Dispatch() {
    for (auto& queue : m_queues) {
      while (!queue.empty() && (queue.front()->closed || Send(queue.front()))) {
        queue.pop_front();
      }
    }
  }

  bool Send(const CallHandle& call) {
    const TimePoint now = m_world.schedule.Now();
    const routing::SelectionRequest request{call->work_class,
                                            m_classifier.ReservedShare(kService, now), call->tried};
    const routing::Worker* worker =
        m_selector->Select(m_table.Candidates(kService), request, now, m_world.generator);
    if (worker == nullptr || !m_table.Started(worker->info.id, call->work_class)) {
      return false;
    }
    const std::string id = worker->info.id;
    call->tried.push_back(id);
    const auto attempt = std::make_shared<Attempt>();
    attempt->call = call;
    attempt->sent = now;
    attempt->work_class = call->work_class;
    attempt->expected = m_classifier.ProfileOf(call->route).median;
    attempt->delay = worker->info.zone == m_zone ? kSameZoneDelay : kOtherZoneDelay;
    ModelWorker& target = *m_workers[std::stoul(id)];
    attempt->answer = [this, id, &target, handle = std::weak_ptr(attempt)](bool succeeded) {
      const auto answered = handle.lock();
      m_world.schedule.After(
          answered->delay, [this, id, answered, succeeded, load = target.ReportedLoad()] {
            if (!answered->ended) {
              m_table.Report(id, {load, kSlots, m_world.schedule.Now()});
              End(*answered, id, succeeded ? RequestOutcome::kSucceeded : RequestOutcome::kFailed);
            }
          });
    };
    m_world.schedule.After(attempt->delay, [&target, attempt] { target.Receive(attempt); });
    m_world.schedule.After(call->arrived + kDeadline - now, [this, id, attempt] {
      if (!attempt->ended) {
        End(*attempt, id, RequestOutcome::kTimedOut);
      }
    });
    return true;
  }

  void End(Attempt& attempt, const std::string& id, RequestOutcome outcome) {
    const TimePoint now = m_world.schedule.Now();
    attempt.ended = true;
    m_table.Finished(id, {attempt.work_class, outcome, now - attempt.sent, attempt.expected}, now);
    if (outcome != RequestOutcome::kFailed) {
      m_classifier.Record(attempt.call->route, now - attempt.sent, now);
      Close(*attempt.call, outcome == RequestOutcome::kSucceeded);
    } else if (m_retry_tokens >= 1 && attempt.call->tried.size() < 2) {
      m_retry_tokens -= 1;
      Enqueue(attempt.call);
    } else {
      Close(*attempt.call, false);
    }
    Dispatch();
  }

  void Close(Call& call, bool succeeded) {
    if (std::exchange(call.closed, true) || !call.measured) {
      return;
    }
    RunResult& result = m_world.result;
    const Duration latency = succeeded ? m_world.schedule.Now() - call.arrived : kDeadline;
    (call.is_long ? result.long_latency : result.short_latency)
        .Record(std::chrono::duration_cast<microseconds>(latency));
    ++result.calls;
    result.errors += succeeded ? 0 : 1;
  }

  Surroundings& m_world;
  std::vector<std::unique_ptr<ModelWorker>>& m_workers;
  std::string m_zone;
  routing::WorkerTable m_table;
  routing::RouteClassifier m_classifier;
  std::unique_ptr<routing::WorkerSelector> m_selector;
  std::array<std::deque<CallHandle>, routing::kWorkClasses> m_queues;
  double m_retry_tokens = kRetryBurst;
};

}  // namespace

RunResult RunModel(const Scenario& scenario, routing::SelectionPolicy policy,
                   const RunOptions& options) {
  Surroundings world{scenario, options, {}, RandomGenerator(options.seed), {}};
  std::vector<std::unique_ptr<ModelWorker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<ModelWorker>(world, i));
  }
  std::vector<std::unique_ptr<ModelVm>> vms;
  for (int i = 0; i < kVms; ++i) {
    vms.push_back(std::make_unique<ModelVm>(world, workers, i, policy));
  }
  world.schedule.RunUntil(world.MeasuredTo() + kDeadline);
  return world.result;
}

}  // namespace qh::policy_model
