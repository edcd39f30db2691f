#include "load_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "load_context.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"

namespace qh::load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/**
 * Interval of the timer that starts due calls. The resulting delay is part of the measured
 * latency, which starts at the intended time.
 */
constexpr milliseconds kStartTimerInterval{1};
/**
 * Delay before the execution counts are read, so that they include late executions of calls with
 * the outcome unknown.
 */
constexpr milliseconds kCountsDelay{500};
constexpr milliseconds kCountsTimeout{30000};
/** Limit for the response with the execution counts, which has one entry per executed request. */
constexpr std::size_t kMaxCountsBytes = 512 * 1024 * 1024;

}  // namespace

struct LoadRun::Impl {
  net::EventLoop& loop;
  const Scenario& scenario;
  const Topology& topology;
  RandomGenerator generator;
  CallerClients clients;
  AddressCache addresses;
  standin::DelayedTasks tasks;
  LoadContext context;
  ArrivalPlan plan;
  std::optional<PlannedCall> next;
  net::Timer start_timer;
  http::HttpClient counts_client;
  CallLedger ledger;
  LoadResult result;
  TimePoint started_at{};
  bool draining = false;
  std::function<void(const LoadResult&)> on_done;

  Impl(net::EventLoop& event_loop, const Scenario& load_scenario, const Topology& load_topology)
      : loop(event_loop),
        scenario(load_scenario),
        topology(load_topology),
        generator(scenario.seed + 1),
        clients(loop),
        addresses(loop, clients, topology.entries, scenario.seed + 2),
        tasks(loop),
        context{loop, scenario, clients, addresses, tasks},
        plan(scenario, MakeRunName()),
        start_timer(loop, [this] { StartDueCalls(); }),
        counts_client(loop, topology.worker_control, CountsOptions()) {}

  /**
   * Returns a random name, because the workers may still have counts of a run with the same seed.
   */
  static std::string MakeRunName() {
    RandomGenerator seeded = MakeSeededGenerator();
    return MakeRandomId(seeded);
  }

  static http::HttpClientOptions CountsOptions() {
    http::HttpClientOptions options;
    options.max_response_bytes = kMaxCountsBytes;
    return options;
  }

  void StartDueCalls() {
    while (next.has_value() && started_at + next->start <= loop.Now()) {
      const TimePoint intended = started_at + next->start;
      result.max_start_delay = std::max(
          result.max_start_delay, std::chrono::duration_cast<microseconds>(loop.Now() - intended));
      StartCall(*std::move(next), intended);
      next = plan.Next();
    }
    if (!next.has_value() && !draining) {
      draining = true;
      start_timer.Stop();
      tasks.Start(scenario.drain_limit, [this] { RequestCounts(); });
      EndIfIdle();
    }
  }

  void StartCall(PlannedCall call, TimePoint intended) {
    ledger.RecordStart();
    const auto on_ended = [this](CallRecord record) {
      ledger.RecordEnd(std::move(record));
      EndIfIdle();
    };
    if (call.direct) {
      if (const IpEndpoint* worker = ChooseWorker(scenario.mix[call.mix].service)) {
        StartDirectCall(context, call, *worker, intended, on_ended);
        return;
      }
    }
    StartEntryCall(context, std::move(call), intended, on_ended);
  }

  const IpEndpoint* ChooseWorker(const std::string& service) {
    std::vector<const IpEndpoint*> endpoints;
    for (const DirectWorker& worker : topology.workers) {
      if (worker.service == service) {
        endpoints.push_back(&worker.listen);
      }
    }
    if (endpoints.empty()) {
      return nullptr;
    }
    return endpoints[std::uniform_int_distribution<std::size_t>(0,
                                                                endpoints.size() - 1)(generator)];
  }

  void EndIfIdle() {
    if (draining && ledger.InProgress() == 0) {
      tasks.Clear();
      tasks.Start(kCountsDelay, [this] { RequestCounts(); });
    }
  }

  void RequestCounts() {
    tasks.Clear();
    counts_client.StartOnNewConnection(
        {"GET", "/standin/executions", {}, ""}, kCountsTimeout,
        [this](const http::HttpCallResult& counts_result) { Finish(counts_result); });
  }

  void Finish(const http::HttpCallResult& counts_result) {
    standin::ExecutionCounts executions;
    if (const auto* response = std::get_if<http::HttpResponse>(&counts_result)) {
      const auto body = nlohmann::json::parse(response->body.Bytes(), nullptr, false);
      if (body.is_object() && body.contains("executions")) {
        executions = body["executions"].get<standin::ExecutionCounts>();
        result.has_executions = true;
      }
    }
    if (!result.has_executions) {
      logging::LogError(
          "load", Error{ErrorCode::kUnavailable, "read executions",
                        ToString(topology.worker_control), "no execution counts in the response"});
    }
    result.summary = ledger.Compare(executions);
    result.address_requests = addresses.RequestCount();
    on_done(result);
  }
};

LoadRun::LoadRun(net::EventLoop& loop, const Scenario& scenario, const Topology& topology)
    : m_impl(std::make_unique<Impl>(loop, scenario, topology)) {}

LoadRun::~LoadRun() = default;

void LoadRun::Start(std::function<void(const LoadResult&)> on_done) {
  m_impl->on_done = std::move(on_done);
  m_impl->started_at = m_impl->loop.Now();
  m_impl->next = m_impl->plan.Next();
  m_impl->start_timer.StartRepeating(kStartTimerInterval);
}

void LoadRun::Stop() { m_impl->next.reset(); }

const CallLedger& LoadRun::Ledger() const noexcept { return m_impl->ledger; }

}  // namespace qh::load
