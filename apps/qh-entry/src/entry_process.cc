#include "entry_process.h"

#include <utility>

#include "address_book.h"
#include "call_service.h"
#include "control_link.h"
#include "key_service.h"
#include "peer_link.h"
#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/overload/overload_monitor.h"
#include "quetzalhinge/overload/process_capacity.h"
#include "quetzalhinge/rpc/kj_event_loop.h"

namespace qh::entry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{200};
constexpr milliseconds kBorrowInterval{50};
constexpr milliseconds kDrainPollInterval{50};
/**
 * Calls are accepted for this time longer than the TTL of addresses, because callers may have
 * received the address of this VM just before the drain started.
 */
constexpr milliseconds kDrainMargin{1000};
/** Limit on the time to send the responses to calls that a forced stop has ended. */
constexpr milliseconds kLastResponsesLimit{1000};

contract::ContractBookOptions BookOptions(const vm_settings::EntryVmSettings& settings) {
  contract::ContractBookOptions options;
  options.confirmation_limit = settings.confirmation_limit;
  return options;
}

AddressBookOptions AddressOptions(const vm_settings::EntryVmSettings& settings) {
  return {settings.zone, static_cast<std::uint32_t>(settings.vm_count),
          static_cast<std::uint32_t>(settings.home_slots)};
}

/** Memory of a stored key without its response. */
constexpr std::size_t kBytesPerKey = 400;

/** Returns the memory that stored keys and events may use. */
std::size_t MemoryForRecords(const vm_settings::EntryVmSettings& settings) {
  return settings.key_max_bytes + settings.key_capacity * kBytesPerKey +
         settings.timeline_capacity * timeline::EventRing::kLongEventBytes;
}

}  // namespace

struct EntryProcess::Impl : ControlListener {
  net::EventLoop& loop;
  const vm_settings::EntryVmSettings& settings;
  TimePoint started;
  RandomGenerator generator = MakeSeededGenerator();
  std::uint64_t incarnation = generator();
  metrics::MetricsRegistry metrics;
  overload::ProcessCapacity capacity;
  std::shared_ptr<http::MemoryBudget> message_memory;
  overload::OverloadMonitor overload_monitor;
  EventLog events;
  rpc::KjEventLoop kj_loop;
  auth::MessageAuthenticator authenticator;
  contract::ContractBook book;
  CustomerTable customers;
  WorkerPool workers;
  KeyService keys;
  AddressBook addresses;
  PeerLink peers;
  CallService calls;
  ControlLink control;
  http::HttpServer caller_server;
  http::HttpServer admin_server;
  net::Timer report_timer;
  net::Timer borrow_timer;
  net::Timer drain_timer;
  TimePoint drain_started;
  /** Start of a forced stop, which ends the calls in progress. */
  std::optional<TimePoint> forced_stop_started;
  std::size_t cut_requests = 0;
  bool view_received = false;
  settings::ExitCode exit_code = settings::ExitCode::kSuccess;

  Impl(net::EventLoop& event_loop, const vm_settings::EntryVmSettings& vm_settings)
      : loop(event_loop),
        settings(vm_settings),
        started(event_loop.Now()),
        capacity(overload::CapacityOf(vm_settings.process_limits, MemoryForRecords(vm_settings))),
        message_memory(std::make_shared<http::MemoryBudget>(capacity.messages)),
        overload_monitor(metrics, message_memory),
        events(vm_settings.name, "qh-entry", vm_settings.timeline_capacity),
        kj_loop(event_loop),
        authenticator(TakeValue(auth::MessageAuthenticator::Create({vm_settings.deployment_key}))),
        book(BookOptions(vm_settings)),
        customers(vm_settings, started),
        workers(event_loop, vm_settings, metrics, events, generator, message_memory),
        keys(vm_settings, incarnation, authenticator, generator),
        addresses(AddressOptions(vm_settings), keys.Authority()),
        peers(
            kj_loop, vm_settings,
            [this](const std::string& key, std::uint64_t fingerprint) {
              return keys.ResolveForPeer(key, fingerprint);
            },
            PeerLimits()),
        calls(CallContext{event_loop, vm_settings, book, customers, workers, keys, events, metrics,
                          generator},
              addresses),
        control(kj_loop, vm_settings, incarnation, *this),
        caller_server(event_loop, CallerServerOptions(),
                      [this](const std::shared_ptr<http::HttpExchange>& exchange) {
                        calls.Handle(exchange);
                      }),
        admin_server(event_loop, AdminServerOptions(),
                     [this](const std::shared_ptr<http::HttpExchange>& exchange) {
                       HandleAdmin(*exchange);
                     }),
        report_timer(event_loop, [this] { ReportStatus(); }),
        borrow_timer(event_loop, [this] { SendBorrowRequests(); }),
        drain_timer(event_loop, [this] { ContinueDrain(); }) {
    keys.SetPeers(addresses, peers);
    workers.SetNoticePublisher(
        [this](const membership::Notice& notice) { control.Publish(notice); });
    overload_monitor.Watch("callers", caller_server.Connections());
    overload_monitor.Watch("admin", admin_server.Connections());
    overload_monitor.Watch("entry_rpc", [this] {
      return overload::ListenerUsage{peers.Server().OpenConnections(),
                                     capacity.others.max_connections,
                                     peers.Server().ReplacedConnections(), 0};
    });
  }

  rpc::RpcServerLimits PeerLimits() const {
    rpc::RpcServerLimits limits;
    limits.max_unauthenticated = capacity.others.max_connections;
    limits.receive_buffer_bytes = static_cast<int>(capacity.others.receive_buffer_bytes);
    return limits;
  }

  http::HttpServerOptions CallerServerOptions() {
    return {settings.addresses.callers,
            settings.max_body_bytes,
            settings.caller_timeout,
            [this](http::Refusal refusal) { return calls.BadInputResponse(refusal); },
            message_memory,
            capacity.callers.max_connections,
            capacity.callers.receive_buffer_bytes};
  }

  http::HttpServerOptions AdminServerOptions() const {
    http::HttpServerOptions options;
    options.listen = settings.addresses.entry_admin;
    options.memory_budget = message_memory;
    options.max_connections = capacity.others.max_connections;
    options.receive_buffer_bytes = capacity.others.receive_buffer_bytes;
    return options;
  }

  contract::Revision OnContracts(contract::ChangesAnswer changes) override {
    const contract::Revision before = book.CurrentRevision();
    if (auto* snapshot = std::get_if<contract::ContractSnapshot>(&changes)) {
      book.ApplySnapshot(std::move(*snapshot));
    } else {
      for (contract::ContractChange& change :
           std::get<std::vector<contract::ContractChange>>(changes)) {
        book.Apply(std::move(change));
      }
    }
    if (book.CurrentRevision() != before) {
      customers.Update(book, loop.Now());
      const std::string revision = std::to_string(book.CurrentRevision());
      logging::LogChange("contracts", "apply", {{"revision", revision}});
      events.Add("contracts_applied", "", "", "", "revision " + revision);
      ReportStatus();
    }
    return book.CurrentRevision();
  }

  void OnView(std::vector<EntryVm> vms, const std::vector<ListedWorker>& listed) override {
    addresses.Update(std::move(vms));
    workers.ApplyList(listed);
    view_received = true;
  }

  void OnNotice(const membership::Notice& notice) override {
    if (notice.kind == membership::NoticeKind::kContractRevision) {
      book.ObserveRevision(notice.value);
    } else {
      workers.ApplyNotice(notice);
    }
  }

  void OnConfirmation(contract::Revision revision, Duration age) override {
    book.Confirm(revision, loop.Now() - age);
    UpdateReadiness();
  }

  std::optional<limits::LoanGrant> OnBorrow(const std::string& customer,
                                            const limits::BorrowRequest& request) override {
    return customers.Lend(customer, request, loop.Now());
  }

  void OnGrant(const std::string& customer, const limits::LoanGrant& grant) override {
    customers.OnGrant(customer, grant, loop.Now());
  }

  void OnDrain() override { BeginDrain(); }

  std::string OnTimeline(const std::string& filter_json) override {
    return events.SelectJson(ParseEventFilter(filter_json));
  }

  bool IsReady() const {
    return view_received && book.IsConfirmed(loop.Now()) &&
           loop.Now() - started >= CustomerTable::WarmUp();
  }

  void UpdateReadiness() {
    if (calls.State() == ServiceState::kNotReady && IsReady()) {
      calls.SetState(ServiceState::kServing);
      logging::LogChange("entry", "serve", {{"revision", std::to_string(book.CurrentRevision())}});
      events.Add("serving", "", "", "", "");
    }
  }

  void ReportStatus() {
    UpdateReadiness();
    overload_monitor.Update(loop.Now());
    const bool draining =
        calls.State() == ServiceState::kDraining || calls.State() == ServiceState::kStopped;
    control.ReportStatus({static_cast<std::uint32_t>(calls.InProgress()), book.CurrentRevision(),
                          calls.State() == ServiceState::kServing && IsReady(), draining});
  }

  void SendBorrowRequests() {
    for (const CustomerBorrowRequest& request : customers.PlanRequests(loop.Now(), generator)) {
      control.RequestLoan(request);
    }
  }

  void HandleAdmin(http::HttpExchange& exchange) {
    const std::string& path = exchange.Request().path;
    if (http::PathOnly(path) == "/metrics") {
      overload_monitor.Update(loop.Now());
      metrics.GaugeOf("qh_calls_in_progress").Set(static_cast<double>(calls.InProgress()));
      metrics.GaugeOf("qh_attempts_in_progress").Set(static_cast<double>(workers.InProgress()));
      metrics.GaugeOf("qh_contract_revision").Set(static_cast<double>(book.CurrentRevision()));
      metrics.GaugeOf("qh_keys").Set(static_cast<double>(keys.Table().Size()));
      metrics.GaugeOf("qh_key_response_bytes")
          .Set(static_cast<double>(keys.Table().ResponseBytes()));
      exchange.Respond(
          {200, {{"content-type", "text/plain; version=0.0.4"}}, metrics.PrometheusText(), false});
    } else if (http::PathOnly(path) == "/v1/timeline") {
      timeline::EventFilter filter;
      filter.request_id = http::QueryParameter(path, "request").value_or("");
      filter.customer = http::QueryParameter(path, "customer").value_or("");
      filter.worker = http::QueryParameter(path, "worker").value_or("");
      exchange.Respond({200,
                        {{"content-type", "application/json"}},
                        "{\"events\":" + events.SelectJson(filter) + "}",
                        false});
    } else {
      exchange.Respond({404, {}, "", false});
    }
  }

  void BeginDrain() {
    if (calls.State() == ServiceState::kDraining || calls.State() == ServiceState::kStopped) {
      return;
    }
    drain_started = loop.Now();
    calls.SetState(ServiceState::kDraining);
    logging::LogChange("entry", "drain", {{"in_progress", std::to_string(calls.InProgress())}});
    events.Add("drain_started", "", "", "", "");
    ReportStatus();
    drain_timer.StartRepeating(kDrainPollInterval);
  }

  void ContinueDrain() {
    const Duration elapsed = loop.Now() - drain_started;
    if (calls.State() == ServiceState::kDraining &&
        elapsed >= settings.address_ttl + kDrainMargin) {
      calls.SetState(ServiceState::kStopped);
      caller_server.StopAccepting();
    }
    if (forced_stop_started.has_value()) {
      ContinueForcedStop();
    } else if (calls.State() == ServiceState::kStopped && calls.InProgress() == 0 &&
               caller_server.InProgress() == 0) {
      StopProcess();
    } else if (elapsed >= settings.drain_limit) {
      BeginForcedStop("drain limit");
    }
  }

  /** Ends the calls in progress, with a response to each. */
  void BeginForcedStop(const char* reason) {
    if (forced_stop_started.has_value()) {
      return;
    }
    forced_stop_started = loop.Now();
    cut_requests = calls.InProgress();
    logging::LogChange("entry", "forced stop",
                       {{"reason", reason}, {"cut_requests", std::to_string(cut_requests)}});
    caller_server.StopAccepting();
    calls.RespondBeforeStop();
    ContinueForcedStop();
  }

  void ContinueForcedStop() {
    if (caller_server.QueuedBytes() == 0 ||
        loop.Now() - *forced_stop_started > kLastResponsesLimit) {
      StopProcess();
    }
  }

  void StopProcess() {
    // A forced stop without calls in progress interrupts no request.
    exit_code =
        cut_requests == 0 ? settings::ExitCode::kSuccess : settings::ExitCode::kRequestsAborted;
    logging::LogChange("entry", "stop",
                       {{"cut_requests", std::to_string(cut_requests)},
                        {"unsent_bytes", std::to_string(caller_server.QueuedBytes())}});
    drain_timer.Stop();
    loop.Stop();
  }
};

EntryProcess::EntryProcess(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings)
    : m_impl(std::make_unique<Impl>(loop, settings)) {}

EntryProcess::~EntryProcess() = default;

Result<Success> EntryProcess::Start() {
  for (http::HttpServer* server : {&m_impl->caller_server, &m_impl->admin_server}) {
    Result<Success> started = server->Start();
    if (!IsOk(started)) {
      return started;
    }
  }
  Result<Success> peers_started = m_impl->peers.Start();
  if (!IsOk(peers_started)) {
    return peers_started;
  }
  m_impl->control.Start();
  m_impl->report_timer.StartRepeating(kReportInterval);
  m_impl->borrow_timer.StartRepeating(kBorrowInterval);
  logging::LogChange(
      "entry", "start",
      {{"vm", m_impl->settings.name}, {"callers", ToString(m_impl->settings.addresses.callers)}});
  return Success{};
}

void EntryProcess::OnStopSignal(int count) {
  if (count == 1) {
    m_impl->BeginDrain();
  } else {
    m_impl->BeginForcedStop("second stop signal");
  }
}

settings::ExitCode EntryProcess::Exit() const noexcept { return m_impl->exit_code; }

}  // namespace qh::entry
