#include "quetzalhinge/gateway/gateway_process.h"

#include <algorithm>
#include <utility>

#include "gateway_gossip.h"
#include "quetzalhinge/gateway/address_choice.h"
#include "quetzalhinge/gateway/call_service.h"
#include "quetzalhinge/gateway/limit_watch.h"
#include "quetzalhinge/gateway/peer_choice.h"
#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/gateway/store_copy.h"
#include "quetzalhinge/gateway/vm_registration.h"
#include "quetzalhinge/gossip/gossip_task.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/overload/overload_monitor.h"
#include "quetzalhinge/overload/process_capacity.h"
#include "revision_watch.h"
#include "stop_schedule.h"

namespace qh::gateway {
namespace {

using membership::MemberRecord;
using membership::MemberState;
using std::chrono::milliseconds;

/** Interval of the check for due work: removals, time-outs of peers, steps of the shutdown. */
constexpr milliseconds kTickInterval{200};

/** How long a new process waits for gossip of other VMs before it reads the store itself. */
constexpr milliseconds kFirstReadDelay{700};

/** How long callers may cache address responses, unless the settings allow less. */
constexpr milliseconds kAddressTtl{2000};

/**
 * Fraction of the setting catch_up after which a VM without heartbeats is omitted from address
 * responses. Known heartbeat ages exclude the network delay and up to 0.1 s at each VM that
 * forwards them. Omitting a live VM for a moment does little harm.
 */
constexpr double kMaxSilenceFraction = 0.5;

/** Limits for internal requests (other VMs, metrics, readiness, addresses), which are small. */
http::ConnectionLimits InternalLimits(const overload::ListenerCapacity& capacity,
                                      const std::shared_ptr<http::MemoryBudget>& message_memory) {
  http::ConnectionLimits limits;
  limits.message.max_body_bytes = 64 * 1024;
  limits.message.memory_budget = message_memory;
  limits.max_connections = capacity.max_connections;
  limits.receive_buffer_bytes = capacity.receive_buffer_bytes;
  return limits;
}

}  // namespace

struct GatewayProcess::Impl : gossip::GossipObserver, StoreCopyObserver, RevisionWatchObserver {
  net::EventLoop& loop;
  GatewaySettings settings;
  GatewayEnvironment environment;
  RandomGenerator random = MakeSeededGenerator();
  metrics::MetricsRegistry metrics;
  overload::ProcessCapacity capacity;
  std::shared_ptr<http::MemoryBudget> message_memory;
  overload::OverloadMonitor overload_monitor;
  routes::RouteTable routes;
  dispatch::WorkerRegistry registry;
  dispatch::WorkerPicker picker;
  WorkerLinks worker_links;
  LimitWatch limit_watch;
  gossip::GossipTask gossip;
  CrashWatch crash_watch;
  RetryBudgets budgets;
  CallContext context;
  CallService call_service;
  RelayedStore relayed_store;
  StoreCopy store_copy;
  http::ConnectionServer call_server;
  http::ConnectionServer ready_server;
  http::ConnectionServer address_server;
  http::ConnectionServer internal_server;
  net::Timer tick;
  net::Timer stop_timer;
  VmRegistration registration;
  net::Timer first_read_timer;
  RevisionWatch revision_watch;
  bool is_reading = false;
  bool first_read_delayed = false;
  bool worker_has_left = false;
  std::optional<TimePoint> stopping_since;
  bool is_accepting = true;
  /** Requests that a planned stop has ended, with or without a response. */
  std::size_t unfinished_requests = 0;
  settings::ExitCode exit = settings::ExitCode::kSuccess;

  Impl(net::EventLoop& event_loop, const GatewaySettings& gateway_settings,
       const GatewayEnvironment& gateway_environment)
      : loop(event_loop),
        settings(gateway_settings),
        environment(gateway_environment),
        capacity(overload::CapacityOf(settings.process_limits)),
        message_memory(std::make_shared<http::MemoryBudget>(capacity.messages)),
        overload_monitor(metrics, message_memory),
        worker_links(loop, metrics, environment.headers, environment.decoder, registry, routes,
                     message_memory),
        limit_watch(loop, registry, worker_links, settings.name),
        gossip(loop, random, metrics, GossipOptionsOf(settings), *this),
        crash_watch(loop, worker_links,
                    [this](const membership::Notice& notice) { gossip.Post(notice); }),
        budgets({settings.retry_share, settings.retry_slack}, settings.name),
        context{settings.zone,       loop,        random,   metrics,
                environment.headers, routes,      registry, picker,
                worker_links,        crash_watch, budgets},
        call_service(context),
        relayed_store(loop, metrics, environment.store, settings.name, settings.apply_within),
        store_copy(loop, random, metrics, relayed_store, environment.layout, environment.decoder,
                   routes, registry, {settings.worker_drain, settings.apply_within}, *this),
        call_server(loop, CallerLimits({}),
                    [this](auto exchange) { call_service.Handle(std::move(exchange)); }),
        ready_server(loop, InternalLimits(capacity.others, message_memory),
                     [this](auto exchange) { HandleReadinessRequest(*exchange); }),
        address_server(loop, InternalLimits(capacity.others, message_memory),
                       [this](auto exchange) { HandleAddressRequest(*exchange); }),
        internal_server(loop, InternalLimits(capacity.others, message_memory),
                        [this](auto exchange) { HandleInternalRequest(exchange); }),
        tick(loop, [this] { Tick(); }),
        stop_timer(loop, [this] { ContinueStop(); }),
        registration(
            loop, environment.store, settings.name, settings.internal,
            [this](const std::vector<IpEndpoint>& peers) { gossip.SetListedPeers(peers); }),
        first_read_timer(loop, [this] { StartReadingOrDelay(); }),
        revision_watch(loop,
                       {environment.layout.configuration_table, environment.layout.workers_table},
                       *this) {
    // After a restart under load, callers cannot wait until peers are known.
    call_service.OnMissingConfiguration([this] { StartReading(); });
    overload_monitor.Watch("callers", call_server);
    overload_monitor.Watch("ready", ready_server);
    overload_monitor.Watch("addresses", address_server);
    overload_monitor.Watch("internal", internal_server);
    relayed_store.OnEra([this](std::uint64_t era) { registration.OnStoreEra(era); });
    relayed_store.SetPeerChoice([this] {
      return ChoosePeersToAsk(gossip.Members().ActiveMembers(loop.Now()), settings.zone,
                              NewestKnownChange(), random);
    });
    relayed_store.OnStoreRecovered([this](Duration ago) { store_copy.OnStoreRecovered(ago); });
  }

  Result<Success> Start() {
    struct Listening {
      http::ConnectionServer& server;
      const IpEndpoint& endpoint;
    };
    for (const Listening& listening :
         {Listening{call_server, settings.callers}, Listening{ready_server, settings.ready},
          Listening{address_server, settings.addresses},
          Listening{internal_server, settings.internal}}) {
      Result<Success> started = listening.server.Listen(listening.endpoint);
      if (!IsOk(started)) {
        return started;
      }
    }
    Result<Success> started = gossip.Start();
    if (IsOk(started)) {
      first_read_timer.StartOnce(kFirstReadDelay);
      registration.Start();
      tick.StartRepeating(kTickInterval);
      logging::LogChange("process", "started",
                         {{"vm", settings.name},
                          {"zone", settings.zone},
                          {"callers", ToString(settings.callers)},
                          {"store", ToString(settings.store)}});
    }
    return started;
  }

  // Reading from the store

  /**
   * If many VMs start together, none of them has rows to relay yet. Those that read the store start
   * at once; the others wait once more, until the readers have rows.
   */
  void StartReadingOrDelay() {
    const bool has_source = relayed_store.WouldReadStore() || revision_watch.NewestVmRevision() > 0;
    if (!has_source && !std::exchange(first_read_delayed, true)) {
      first_read_timer.StartOnce(kFirstReadDelay);
    } else {
      StartReading();
    }
  }

  void StartReading() {
    if (!is_reading) {
      is_reading = true;
      first_read_timer.Stop();
      store_copy.Start();
    }
  }

  std::uint64_t NewestKnownChange() const {
    return std::max(KnownRevision(environment.layout.configuration_table),
                    KnownRevision(environment.layout.workers_table));
  }

  // RevisionWatchObserver

  std::uint64_t KnownRevision(const std::string& table) const override {
    return relayed_store.NewestChange(table);
  }

  void OnTableBehind(const std::string& table) override {
    if (is_reading) {
      store_copy.CheckNow(table);
    }
  }

  /** Returns `limits` with what follows from the capacity of the process. */
  http::ConnectionLimits CallerLimits(http::ConnectionLimits limits) const {
    limits.message.memory_budget = message_memory;
    limits.max_connections = capacity.callers.max_connections;
    limits.receive_buffer_bytes = capacity.callers.receive_buffer_bytes;
    return limits;
  }

  // HTTP requests other than calls

  bool IsReady() const { return routes.HasConfiguration() && !stopping_since.has_value(); }

  void HandleReadinessRequest(http::ServerExchange& exchange) const {
    const bool is_path =
        http::PathOnly(exchange.Request().path) == environment.discovery.ReadyPath();
    exchange.Respond({!is_path ? 404 : IsReady() ? 200 : 503, {}, "", false});
  }

  std::vector<IpEndpoint> AddressesFor(const std::string& zone) {
    const auto max_silence =
        std::chrono::duration_cast<Duration>(settings.catch_up * kMaxSilenceFraction);
    return ChooseAddresses(gossip.Members().ServingMembers(loop.Now(), max_silence), zone, random);
  }

  void HandleAddressRequest(http::ServerExchange& exchange) {
    const std::string& path = exchange.Request().path;
    if (http::PathOnly(path) != environment.discovery.AddressPath()) {
      exchange.Respond({404, {}, "", false});
      return;
    }
    const std::vector<IpEndpoint> addresses = AddressesFor(environment.discovery.CallerZone(path));
    if (addresses.empty()) {
      StartReading();
      exchange.Respond({503, {{"retry-after", "0.2"}}, "", false});
      return;
    }
    const milliseconds ttl = std::min(kAddressTtl, settings.max_address_ttl);
    exchange.Respond({200,
                      {{"content-type", "application/json"}},
                      environment.discovery.FormatAddresses(addresses, ttl),
                      false});
  }

  void HandleInternalRequest(const std::shared_ptr<http::ServerExchange>& exchange) {
    const std::string& path = exchange->Request().path;
    if (http::PathOnly(path) == "/metrics") {
      UpdateGauges();
      exchange->Respond({200, {{"content-type", "text/plain"}}, metrics.PrometheusText(), false});
    } else if (http::PathOnly(path) == kRelayPath || http::PathOnly(path) == kFormerRelayPath) {
      relayed_store.HandlePeerRequest(exchange);
    } else {
      exchange->Respond({404, {}, "", false});
    }
  }

  void UpdateGauges() {
    metrics.GaugeOf("qh_calls_in_progress").Set(static_cast<double>(call_server.InProgress()));
    metrics.GaugeOf("qh_caller_connections")
        .Set(static_cast<double>(call_server.OpenConnections()));
    metrics.GaugeOf("qh_configuration_version")
        .Set(static_cast<double>(routes.Configuration().version));
    metrics.GaugeOf("qh_workers").Set(static_cast<double>(registry.All().size()));
    overload_monitor.Update(loop.Now());
    metrics.GaugeOf("qh_store_lost").Set(store_copy.UnavailableSince().has_value() ? 1 : 0);
    relayed_store.UpdateGauges();
    const http::RefusalCounts& refused = call_server.Refused();
    metrics.GaugeOf("qh_refused_malformed").Set(static_cast<double>(refused.malformed));
    metrics.GaugeOf("qh_refused_head_too_large").Set(static_cast<double>(refused.head_too_large));
    metrics.GaugeOf("qh_refused_body_too_large").Set(static_cast<double>(refused.body_too_large));
    metrics.GaugeOf("qh_refused_timed_out").Set(static_cast<double>(refused.timed_out));
    metrics.GaugeOf("qh_refused_no_memory").Set(static_cast<double>(refused.no_memory));
  }

  // StoreCopyObserver

  void OnConfigurationApplied() override {
    const routes::CallerLimits& limits = routes.Configuration().limits;
    http::ConnectionLimits connection_limits;
    connection_limits.message.max_head_bytes = limits.max_header_bytes;
    connection_limits.message.max_body_bytes = limits.max_body_bytes;
    connection_limits.head_timeout = limits.header_timeout;
    connection_limits.idle_timeout = limits.idle_timeout;
    call_server.SetLimits(CallerLimits(connection_limits));
    if (IsReady()) {
      gossip.SetOwnState(MemberState::kLive, "");
    }
  }

  /**
   * VMs that read the store announce urgent changes to all others at once: a new configuration or a
   * leaving worker, which must take effect within a time limit. Other changes spread with the
   * regular gossip rounds.
   */
  void OnTableUpdated(const std::string& table) override {
    gossip.SetOwnRevision(NewestKnownChange());
    const bool is_urgent =
        table == environment.layout.configuration_table || std::exchange(worker_has_left, false);
    if (is_urgent && relayed_store.WasReadFromStore(table)) {
      gossip.AnnounceTableRevision(table, KnownRevision(table));
    }
  }

  void OnWorkerEvent(const dispatch::WorkerEvent& event) override {
    if (event.change == dispatch::WorkerChange::kLeaving ||
        event.change == dispatch::WorkerChange::kRemoved) {
      worker_has_left = true;
    }
    if (event.change == dispatch::WorkerChange::kRestarted ||
        event.change == dispatch::WorkerChange::kRemoved) {
      worker_links.CloseIdleConnections(event.record.id);
    }
  }

  // GossipObserver

  void OnPeerMessage(const MemberRecord& peer, TimePoint /*observed_at*/) override {
    if (!is_reading && peer.revision > 0) {
      // The peer, or the VM that it reads from, relays rows. Deferred to the next loop iteration,
      // because the peer is not yet in the list of peers.
      first_read_timer.StartOnce(milliseconds(0));
    }
    revision_watch.OnVmRevision(peer.revision);
  }

  void OnFreshNotice(const membership::Notice& notice) override {
    if (notice.kind == membership::NoticeKind::kContractRevision) {
      revision_watch.OnTableRevision(notice.subject, notice.value);
    } else {
      crash_watch.OnNotice(notice);
    }
  }

  void OnMembersChanged() override {
    std::vector<RelayPeer> peers;
    std::vector<std::string> vms;
    for (const membership::Member* member : gossip.Members().ActiveMembers(loop.Now())) {
      if (member->record.state == MemberState::kLeaving) {
        continue;
      }
      vms.push_back(member->record.vm);
      if (member->record.zone == settings.zone) {
        peers.push_back({member->record.vm, member->record.endpoints.control_rpc});
      }
    }
    relayed_store.SetPeers(peers);
    limit_watch.SetOtherVms(std::move(vms));
    const std::size_t vm_count = gossip.Members().AllMembers().size() + 1;
    budgets.SetVmCount(vm_count);
    gossip.SetVmCount(vm_count);
    store_copy.SetVmCount(vm_count);
  }

  void OnMemberActiveChanged(const std::string& vm, bool is_active) override {
    logging::LogChange("member", is_active ? "heard" : "silent", {{"peer", vm}});
  }

  void OnOwnStateChanged(MemberState state) override {
    logging::LogChange("member", "own state",
                       {{"state", membership::kMemberStateNames.NameOf(state)}});
  }

  // Periodic work, shutdown and reload

  void Tick() {
    store_copy.Tick();
    relayed_store.Tick();
    limit_watch.Tick();
    overload_monitor.Update(loop.Now());
    if (stopping_since.has_value()) {
      ContinueStop();
    }
  }

  void BeginStop() {
    stopping_since = loop.Now();
    logging::LogChange("process", "stopping",
                       {{"in_progress", std::to_string(call_server.InProgress())},
                        {"connections", std::to_string(call_server.OpenConnections())}});
    gossip.SetOwnState(MemberState::kLeaving, "");
    call_server.CloseAfterResponses();
    ContinueStop();
  }

  void ContinueStop() {
    const Duration elapsed = loop.Now() - *stopping_since;
    const StopSchedule schedule(settings.stop_grace);
    const StopStep step = schedule.StepAt(elapsed);
    if (is_accepting && step > StopStep::kAccepting) {
      is_accepting = false;
      call_service.RefuseNewCalls();
      call_server.StopAccepting();
      call_server.CloseIdleConnections();
    }
    if (step >= StopStep::kResponding) {
      unfinished_requests += call_server.InProgress();
      call_service.RespondBeforeStop();
    }
    const bool has_responded = call_server.InProgress() == 0 && call_server.QueuedBytes() == 0;
    if (step == StopStep::kOver || (!is_accepting && has_responded)) {
      EndStop();
    } else if (const auto wait = schedule.TimeUntilNextStep(elapsed)) {
      stop_timer.StartOnce(std::chrono::ceil<milliseconds>(*wait));
    }
  }

  void EndStop() {
    unfinished_requests += call_server.InProgress();
    exit = unfinished_requests == 0 ? settings::ExitCode::kSuccess
                                    : settings::ExitCode::kRequestsAborted;
    logging::LogChange("process", "stopped",
                       {{"unfinished_requests", std::to_string(unfinished_requests)},
                        {"unsent_bytes", std::to_string(call_server.QueuedBytes())}});
    loop.Stop();
  }

  void Reload() {
    const GatewaySettingsResult result = environment.read_settings();
    if (!result.problems.empty()) {
      for (const settings::SettingsProblem& problem : result.problems) {
        logging::LogError("settings", {ErrorCode::kInvalidArgument, "reload", problem.file,
                                       settings::ToString(problem)});
      }
      return;
    }
    settings.retry_share = result.settings.retry_share;
    settings.retry_slack = result.settings.retry_slack;
    settings.max_address_ttl = result.settings.max_address_ttl;
    settings.catch_up = result.settings.catch_up;
    settings.stop_grace = result.settings.stop_grace;
    budgets.SetOptions({settings.retry_share, settings.retry_slack});
    logging::LogChange("settings", "reloaded",
                       {{"retry_share", std::to_string(settings.retry_share)},
                        {"max_address_ttl_ms", std::to_string(settings.max_address_ttl.count())}});
  }
};

GatewayProcess::GatewayProcess(net::EventLoop& loop, const GatewaySettings& settings,
                               const GatewayEnvironment& environment)
    : m_impl(std::make_unique<Impl>(loop, settings, environment)) {}
GatewayProcess::~GatewayProcess() = default;

Result<Success> GatewayProcess::Start() { return m_impl->Start(); }

void GatewayProcess::OnStopSignal(int count) {
  if (count == 1) {
    m_impl->BeginStop();
  } else {
    // The signals of two operators or tools may overlap. A stop without grace is SIGKILL.
    logging::LogChange("process", "stop signal ignored",
                       {{"reason", "already stopping"}, {"signals", std::to_string(count)}});
  }
}

void GatewayProcess::Reload() { m_impl->Reload(); }

settings::ExitCode GatewayProcess::Exit() const noexcept { return m_impl->exit; }

}  // namespace qh::gateway
