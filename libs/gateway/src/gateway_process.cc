#include "quetzalhinge/gateway/gateway_process.h"

#include <algorithm>
#include <utility>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/gateway/address_choice.h"
#include "quetzalhinge/gateway/call_service.h"
#include "quetzalhinge/gateway/relayed_store.h"
#include "quetzalhinge/gateway/store_copy.h"
#include "quetzalhinge/gateway/vm_registration.h"
#include "quetzalhinge/gossip/gossip_task.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {
namespace {

using membership::MemberRecord;
using membership::MemberState;
using std::chrono::milliseconds;

/** How often due work is looked for: removals, fetches from peers, the end of a planned stop. */
constexpr milliseconds kTickInterval{200};

/**
 * How long after another VM has told of a newer change this VM's own reading may take, before the
 * store is asked at once.
 */
constexpr milliseconds kNewsTime{700};

/** How long a new process waits to hear of others before it reads the store itself. */
constexpr milliseconds kFirstReadDelay{700};

/**
 * Part of the grace of a planned stop during which new requests are still taken: callers keep
 * addresses for some time after this VM has left the answers.
 */
constexpr double kAcceptPartOfGrace = 0.4;

/** Part of the grace after which the process ends with whatever is in progress. */
constexpr double kEndPartOfGrace = 0.95;

/** How long address answers may be kept, unless the settings allow less. */
constexpr milliseconds kAddressTtl{2000};

/**
 * Part of the time to catch up for which a VM may be silent before address answers leave it out.
 * Ages of heartbeats are known but for their time in the network and a tenth of a second at each VM
 * that passes them on. A live VM that is left out for a moment loses little.
 */
constexpr double kSilencePartOfCatchUp = 0.5;

/** Wall clocks of VMs may jump by some seconds; gossip goes on. */
constexpr milliseconds kMaxClockDifference{600000};

/**
 * Bytes of a regular gossip message: 50 heartbeats, one zone of a large fleet, beside the records.
 * With 900 bytes, 2% of 131 VMs were unknown to others after a minute, with 1000 one in 1,000.
 */
constexpr std::size_t kGossipDatagramBytes = 1000;

/**
 * Silence after which a VM is suspected, scaled with the number of VMs. Heartbeats of 131 VMs
 * travel in about half of the messages; at 3 s live VMs were suspected every second.
 */
constexpr milliseconds kSuspectAfter{5000};

/** Part of the gossip rounds that stay in the zone, where address answers and relays need them. */
constexpr double kGossipOwnZoneShare = 0.75;

/** Other VMs' questions and the metrics: small, and over at once. */
http::ConnectionLimits InternalLimits() {
  http::ConnectionLimits limits;
  limits.message.max_body_bytes = 64 * 1024;
  return limits;
}

gossip::GossipTaskOptions GossipOptionsOf(const GatewaySettings& settings) {
  gossip::GossipTaskOptions options;
  options.self.vm = settings.name;
  options.self.zone = settings.zone;
  // There are no slot numbers here; heartbeats tell members apart by this and the generation.
  options.self.slot = static_cast<std::uint16_t>(HashBytes(settings.name));
  options.self.generation = static_cast<std::uint64_t>(UnixNow());
  options.self.endpoints.calls = settings.callers;
  options.self.endpoints.control_rpc = settings.internal;
  options.self.endpoints.gossip = settings.internal;
  options.gossip.interval = settings.gossip_interval;
  options.gossip.max_datagram_bytes = kGossipDatagramBytes;
  options.gossip.own_zone_share = kGossipOwnZoneShare;
  options.authenticator.max_age = kMaxClockDifference;
  options.table.base_suspect_after = kSuspectAfter;
  options.deployment_key = settings.deployment_key;
  return options;
}

}  // namespace

struct GatewayProcess::Impl : gossip::GossipObserver, StoreCopyObserver {
  net::EventLoop& loop;
  GatewaySettings settings;
  GatewayEnvironment environment;
  RandomGenerator random = MakeSeededGenerator();
  metrics::MetricsRegistry metrics;
  routes::RouteTable routes;
  dispatch::WorkerRegistry registry;
  dispatch::WorkerPicker picker;
  WorkerLinks links;
  gossip::GossipTask gossip;
  CrashWatch crashes;
  RetryBudgets budgets;
  CallContext context;
  CallService calls;
  RelayedStore relayed_store;
  StoreCopy copy;
  http::ConnectionServer call_server;
  http::ConnectionServer ready_server;
  http::ConnectionServer address_server;
  http::ConnectionServer internal_server;
  net::Timer tick;
  VmRegistration registration;
  net::Timer first_read_timer;
  net::Timer news_timer;
  bool reading = false;
  bool waited_for_reader = false;
  bool worker_has_left = false;
  /** Newest change that another VM has told of. */
  std::uint64_t newest_change_heard = 0;
  std::optional<TimePoint> stopping_since;
  bool accepting = true;
  settings::ExitCode exit = settings::ExitCode::kSuccess;

  Impl(net::EventLoop& event_loop, const GatewaySettings& gateway_settings,
       const GatewayEnvironment& gateway_environment)
      : loop(event_loop),
        settings(gateway_settings),
        environment(gateway_environment),
        links(loop, metrics, environment.headers, environment.decoder, registry, routes),
        gossip(loop, random, metrics, GossipOptionsOf(settings), *this),
        crashes(loop, links, [this](const membership::Notice& notice) { gossip.Post(notice); }),
        budgets({settings.retry_share, settings.retry_slack}, settings.name),
        context{settings.zone, loop,  random,  metrics, environment.headers, routes, registry,
                picker,        links, crashes, budgets},
        calls(context),
        relayed_store(loop, metrics, environment.store, settings.name),
        copy(loop, random, metrics, relayed_store, environment.layout, environment.decoder, routes,
             registry, settings.worker_drain, *this),
        call_server(loop, {}, [this](auto exchange) { calls.Handle(std::move(exchange)); }),
        ready_server(loop, InternalLimits(), [this](auto exchange) { AnswerReady(*exchange); }),
        address_server(loop, InternalLimits(),
                       [this](auto exchange) { AnswerAddresses(*exchange); }),
        internal_server(loop, InternalLimits(),
                        [this](auto exchange) { AnswerInternal(exchange); }),
        tick(loop, [this] { Tick(); }),
        registration(
            loop, environment.store, settings.name, settings.internal,
            [this](const std::vector<IpEndpoint>& peers) { gossip.SetListedPeers(peers); }),
        first_read_timer(loop, [this] { StartReadingInTurn(); }),
        news_timer(loop, [this] { CheckNews(); }) {
    // After a restart under load there is no time to wait for peers first.
    calls.OnEarlyCaller([this] { StartReading(); });
    relayed_store.OnStoreReturned([this](Duration ago) { copy.OnStoreReturned(ago); });
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

  // The store

  /**
   * VMs that start together all know nothing: those that are to read the store begin, and the
   * others give them time to have rows to pass on.
   */
  void StartReadingInTurn() {
    const bool has_source = relayed_store.WouldReadStore() || newest_change_heard > 0;
    if (!has_source && !std::exchange(waited_for_reader, true)) {
      first_read_timer.StartOnce(kFirstReadDelay);
    } else {
      StartReading();
    }
  }

  void StartReading() {
    if (!reading) {
      reading = true;
      first_read_timer.Stop();
      copy.Start();
    }
  }

  std::uint64_t NewestChangeKnown() const {
    return std::max(relayed_store.NewestChange(environment.layout.configuration_table),
                    relayed_store.NewestChange(environment.layout.workers_table));
  }

  void CheckNews() {
    if (reading && NewestChangeKnown() < newest_change_heard) {
      logging::LogDecision("store", "behind what a peer has told",
                           {{"known", std::to_string(NewestChangeKnown())},
                            {"heard", std::to_string(newest_change_heard)}});
      relayed_store.AskStoreNow();
    }
  }

  // Questions

  bool IsReady() const { return routes.HasConfiguration() && !stopping_since.has_value(); }

  void AnswerReady(http::ServerExchange& exchange) const {
    const bool is_path =
        http::PathOnly(exchange.Request().path) == environment.front_door.ReadyPath();
    exchange.Respond({!is_path ? 404 : IsReady() ? 200 : 503, {}, "", false});
  }

  std::vector<IpEndpoint> AddressesFor(const std::string& zone) {
    const auto max_silence =
        std::chrono::duration_cast<Duration>(settings.catch_up * kSilencePartOfCatchUp);
    return ChooseAddresses(gossip.Members().ServingMembers(loop.Now(), max_silence), zone, random);
  }

  void AnswerAddresses(http::ServerExchange& exchange) {
    const std::string& path = exchange.Request().path;
    if (http::PathOnly(path) != environment.front_door.AddressPath()) {
      exchange.Respond({404, {}, "", false});
      return;
    }
    const std::vector<IpEndpoint> addresses = AddressesFor(environment.front_door.CallerZone(path));
    if (addresses.empty()) {
      StartReading();
      exchange.Respond({503, {{"retry-after", "0.2"}}, "", false});
      return;
    }
    const milliseconds ttl = std::min(kAddressTtl, settings.max_address_ttl);
    exchange.Respond({200,
                      {{"content-type", "application/json"}},
                      environment.front_door.FormatAddresses(addresses, ttl),
                      false});
  }

  void AnswerInternal(const std::shared_ptr<http::ServerExchange>& exchange) {
    const std::string& path = exchange->Request().path;
    if (http::PathOnly(path) == "/metrics") {
      UpdateGauges();
      exchange->Respond({200, {{"content-type", "text/plain"}}, metrics.PrometheusText(), false});
    } else if (http::PathOnly(path) == kRelayPath) {
      relayed_store.Answer(exchange);
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
    metrics.GaugeOf("qh_store_lost").Set(copy.LostSince().has_value() ? 1 : 0);
    const http::RefusalCounts& refused = call_server.Refused();
    metrics.GaugeOf("qh_refused_malformed").Set(static_cast<double>(refused.malformed));
    metrics.GaugeOf("qh_refused_head_too_large").Set(static_cast<double>(refused.head_too_large));
    metrics.GaugeOf("qh_refused_body_too_large").Set(static_cast<double>(refused.body_too_large));
    metrics.GaugeOf("qh_refused_timed_out").Set(static_cast<double>(refused.timed_out));
  }

  // StoreCopyObserver

  void OnConfigurationApplied() override {
    const routes::CallerLimits& limits = routes.Configuration().limits;
    http::ConnectionLimits connection_limits;
    connection_limits.message.max_head_bytes = limits.max_header_bytes;
    connection_limits.message.max_body_bytes = limits.max_body_bytes;
    connection_limits.head_timeout = limits.header_timeout;
    connection_limits.idle_timeout = limits.idle_timeout;
    call_server.SetLimits(connection_limits);
    if (IsReady()) {
      gossip.SetOwnState(MemberState::kLive, "");
    }
  }

  /**
   * VMs that read the store tell all others at once of a change that has a time limit: a new
   * configuration, or a worker that leaves. Other changes travel with the regular rounds.
   */
  void OnTableTaken(const std::string& table) override {
    const bool has_limit =
        table == environment.layout.configuration_table || std::exchange(worker_has_left, false);
    if (has_limit && relayed_store.ReadsStore(table)) {
      gossip.AnnounceOwnRevision(NewestChangeKnown());
    } else {
      gossip.SetOwnRevision(NewestChangeKnown());
    }
  }

  void OnWorkerEvent(const dispatch::WorkerEvent& event) override {
    if (event.change == dispatch::WorkerChange::kLeaving ||
        event.change == dispatch::WorkerChange::kRemoved) {
      worker_has_left = true;
    }
    if (event.change == dispatch::WorkerChange::kRestarted ||
        event.change == dispatch::WorkerChange::kRemoved) {
      links.Drop(event.record.id);
    }
  }

  // GossipObserver

  void OnPeerHeard(const MemberRecord& peer, TimePoint /*observed_at*/) override {
    if (!reading && peer.revision > 0) {
      // It, or the VM that it hears from, passes rows on. Not now: it is not among the peers yet.
      first_read_timer.StartOnce(milliseconds(0));
    }
    HearOfChange(peer.revision);
  }

  void OnFreshNotice(const membership::Notice& notice) override {
    if (notice.kind == membership::NoticeKind::kContractRevision) {
      HearOfChange(notice.value);
    } else {
      crashes.OnNotice(notice);
    }
  }

  void HearOfChange(std::uint64_t change) {
    if (change > newest_change_heard) {
      newest_change_heard = change;
      if (change > NewestChangeKnown()) {
        news_timer.StartOnce(kNewsTime);
      }
    }
  }

  void OnMembersChanged() override {
    std::vector<RelayPeer> peers;
    for (const membership::Member* member : gossip.Members().HeardMembers(loop.Now())) {
      if (member->record.zone == settings.zone && member->record.state != MemberState::kLeaving) {
        peers.push_back({member->record.vm, member->record.endpoints.control_rpc});
      }
    }
    relayed_store.SetPeers(peers);
    const std::size_t vm_count = gossip.Members().AllMembers().size() + 1;
    budgets.OnVmCount(vm_count);
    gossip.SetVmCount(vm_count);
  }

  void OnMemberHeard(const std::string& vm, bool heard) override {
    logging::LogChange("member", heard ? "heard" : "silent", {{"peer", vm}});
  }

  void OnOwnStateChanged(MemberState state) override {
    logging::LogChange("member", "own state",
                       {{"state", membership::kMemberStateNames.NameOf(state)}});
  }

  // Steps

  void Tick() {
    copy.Tick();
    relayed_store.Tick();
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
  }

  void ContinueStop() {
    const Duration elapsed = loop.Now() - *stopping_since;
    if (accepting && elapsed > settings.stop_grace * kAcceptPartOfGrace) {
      accepting = false;
      calls.RefuseNew();
      call_server.StopAccepting();
      call_server.CloseIdleConnections();
    }
    const bool is_over = elapsed > settings.stop_grace * kEndPartOfGrace;
    if (!accepting && (call_server.InProgress() == 0 || is_over)) {
      EndStop();
    }
  }

  void EndStop() {
    const std::size_t cut = call_server.InProgress();
    exit = cut == 0 ? settings::ExitCode::kSuccess : settings::ExitCode::kRequestsAborted;
    logging::LogChange("process", "stopped", {{"cut_requests", std::to_string(cut)}});
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
    m_impl->EndStop();
  }
}

void GatewayProcess::Reload() { m_impl->Reload(); }

settings::ExitCode GatewayProcess::Exit() const noexcept { return m_impl->exit; }

}  // namespace qh::gateway
