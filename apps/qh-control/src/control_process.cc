#include "control_process.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contract_task.h"
#include "control_context.h"
#include "entry_link.h"
#include "operator_api.h"
#include "peer_links.h"
#include "platform_task.h"
#include "quetzalhinge/gossip/gossip_task.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/signal_watcher.h"
#include "quetzalhinge/net/timer.h"
#include "resource_gauges.h"
#include "rpc_gate.h"
#include "worker_directory.h"

namespace qh::control {
namespace {

using membership::MemberState;

/** Interval for checking the age of the latest confirmation, and what limits on clients reject. */
constexpr std::chrono::milliseconds kCheckInterval{250};
/** Delay between the end of a planned stop and process exit, for sending the final messages. */
constexpr std::chrono::milliseconds kFinalMessageDelay{100};

gossip::GossipTaskOptions GossipOptionsFrom(const vm_settings::EntryVmSettings& settings) {
  gossip::GossipTaskOptions options;
  options.self.vm = settings.name;
  options.self.zone = settings.zone;
  options.self.slot = static_cast<std::uint16_t>(settings.slot);
  options.self.generation = static_cast<std::uint64_t>(UnixNow());
  options.self.endpoints.calls = settings.addresses.callers;
  options.self.endpoints.entry_rpc = settings.addresses.entry_rpc;
  options.self.endpoints.control_rpc = settings.addresses.control_rpc;
  options.self.endpoints.gossip = settings.addresses.gossip;
  options.self.endpoints.operators = settings.addresses.operators;
  options.table.vm_count = static_cast<std::size_t>(settings.vm_count);
  options.deployment_key = settings.deployment_key;
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

struct ControlProcess::Impl : PlatformObserver,
                              ContractObserver,
                              EntryObserver,
                              gossip::GossipObserver,
                              GateBackend {
  ControlContext context;
  PlatformTask platform;
  PeerLinks peers;
  ContractTask contracts;
  EntryLink entry;
  gossip::GossipTask gossip;
  WorkerDirectory workers;
  RpcGate gate;
  OperatorApi operators;
  net::SignalWatcher signals;
  net::Timer check_timer;
  net::Timer drain_timer;
  net::Timer exit_timer;
  bool draining = false;

  explicit Impl(const vm_settings::EntryVmSettings& settings)
      : context(settings),
        platform(context, *this),
        peers(context),
        contracts(context, platform, peers, *this),
        entry(context, contracts.Book(), *this),
        gossip(context.loop, context.random, context.metrics, GossipOptionsFrom(settings), *this),
        workers(context, peers),
        gate(context, contracts.Book(), entry, peers, *this),
        operators(context, MakeOperatorBackend()),
        signals(context.loop, [this](int count) { OnStopSignal(count); }),
        check_timer(context.loop,
                    [this] {
                      RefreshConfirmation();
                      context.overload_monitor.Update(context.loop.Now());
                    }),
        drain_timer(context.loop, [this] { EndDrain("drain limit reached"); }),
        exit_timer(context.loop, [this] { context.loop.Stop(); }) {
    workers.SetChangeCallback([this] { UpdateView(); });
  }

  OperatorBackend MakeOperatorBackend() {
    return {contracts,
            platform,
            entry,
            gossip,
            workers.Workers(),
            [this] { BeginDrain(); },
            [this] {
              platform.UpdateMetrics();
              context.overload_monitor.Update(context.loop.Now());
              UpdateResourceGauges(context.metrics);
            }};
  }

  // PlatformObserver

  void OnVmList(const platform::VmList& list) override {
    std::vector<IpEndpoint> gossip_peers;
    for (const platform::VmRecord& vm : list.vms) {
      if (vm.role == platform::VmRole::kEntry && vm.gossip.port != 0) {
        gossip_peers.push_back(vm.gossip);
      }
    }
    gossip.SetListedPeers(gossip_peers);
    for (const membership::Notice& notice : workers.UpdateFromVmList(list)) {
      PublishNotice(notice);
    }
  }

  void OnHead(contract::Revision newest, TimePoint requested_at) override {
    contracts.OnHead(newest, requested_at);
    UpdateOwnState();
  }

  // ContractObserver

  void OnContractsChanged() override {
    gossip.AnnounceOwnRevision(contracts.Book().NewestKnownRevision());
    entry.PushContracts();
  }

  // EntryObserver

  void OnEntryAttached() override {
    UpdateView();
    for (const membership::Notice& notice : gossip.Notices()) {
      OnFreshNotice(notice);
    }
    if (draining) {
      entry.Drain();
    }
  }

  void OnEntryChanged() override {
    if (draining && !entry.IsAttached()) {
      EndDrain("the entry has ended");
      return;
    }
    // The entry received SIGTERM itself: the whole VM is being stopped.
    if (entry.Report().draining && !draining) {
      BeginDrain();
    }
    UpdateOwnState();
  }

  void OnEntryNotice(const membership::Notice& notice) override { gossip.Post(notice); }

  // GossipObserver

  void OnPeerMessage(const membership::MemberRecord& peer, TimePoint observed_at) override {
    const bool serves = peer.state == MemberState::kLive || peer.state == MemberState::kLeaving;
    contracts.OnPeerRevision({peer.endpoints.control_rpc, peer.revision, serves, observed_at});
    workers.FetchFromPeerIfUnset(peer.endpoints.control_rpc);
    UpdateOwnState();
  }

  void OnFreshNotice(const membership::Notice& notice) override {
    // The entry receives new revisions with the contracts themselves.
    if (notice.kind != membership::NoticeKind::kContractRevision) {
      entry.PushNotice(notice);
    }
  }

  void OnMembersChanged() override { UpdateView(); }

  void OnMemberActiveChanged(const std::string& vm, bool is_active) override {
    context.events.Add(is_active ? "member_heard" : "member_silent", {"", "", vm});
  }

  void OnOwnStateChanged(MemberState state) override {
    context.events.Add("own_state", {"", "", membership::kMemberStateNames.NameOf(state)});
  }

  // GateBackend

  std::optional<IpEndpoint> ControlRpcOfSlot(std::uint32_t slot) const override {
    for (const membership::Member* member : gossip.Members().ActiveMembers(context.loop.Now())) {
      if (member->record.slot == slot && member->record.state == MemberState::kLive) {
        return member->record.endpoints.control_rpc;
      }
    }
    return std::nullopt;
  }

  const std::optional<std::vector<platform::VmRecord>>& Workers() const override {
    return workers.Workers();
  }

  // Internal operations

  /** Posts a notice to gossip and, if it is new, also sends it to the entry. */
  void PublishNotice(const membership::Notice& notice) {
    if (gossip.Post(notice)) {
      entry.PushNotice(notice);
    }
  }

  void UpdateView() {
    EntryView view;
    view.members.push_back(gossip.Members().Self());
    for (const membership::Member* member : gossip.Members().ActiveMembers(context.loop.Now())) {
      view.members.push_back(member->record);
    }
    view.workers = workers.Workers().value_or(std::vector<platform::VmRecord>{});
    entry.PushView(view);
  }

  /** The VM is live only while the entry is ready, and once the contracts have been confirmed. */
  void UpdateOwnState() {
    MemberState state = MemberState::kStarting;
    if (draining) {
      state = MemberState::kLeaving;
    } else if (entry.IsReady() && contracts.Book().ConfirmedAt().has_value()) {
      state = MemberState::kLive;
    }
    const bool changed = gossip.Members().Self().state != state ||
                         gossip.Members().Self().entry_incarnation != entry.Incarnation();
    gossip.SetOwnState(state, entry.Incarnation());
    if (changed) {
      UpdateView();
    }
  }

  /**
   * Reads the head early if the confirmation is older than half of its limit. Gossip is random, so
   * a VM may receive no confirming message within the limit. This matters most with several hundred
   * VMs, where the regular reads of the head are 30 s apart.
   */
  void RefreshConfirmation() {
    const std::optional<TimePoint> confirmed_at = contracts.Book().ConfirmedAt();
    const Duration refresh_age = context.settings.confirmation_limit / 2;
    if (!confirmed_at.has_value() || context.loop.Now() - *confirmed_at >= refresh_age) {
      platform.ReadHeadNow();
    }
  }

  void OnStopSignal(int count) {
    if (count > 1) {
      EndDrain("second signal");
    } else {
      BeginDrain();
    }
  }

  void BeginDrain() {
    if (draining) {
      return;
    }
    draining = true;
    logging::LogChange("process", "planned stop", {});
    UpdateOwnState();
    if (!entry.IsAttached()) {
      EndDrain("no entry is attached");
      return;
    }
    entry.Drain();
    drain_timer.StartOnce(context.settings.drain_limit);
  }

  void EndDrain(const char* reason) {
    draining = true;
    drain_timer.Stop();
    context.events.Add("stopped", {"", "", reason});
    logging::LogChange("process", "stopped", {{"reason", reason}});
    gossip.SetOwnState(MemberState::kGone, "");
    exit_timer.StartOnce(kFinalMessageDelay);
  }
};

ControlProcess::ControlProcess(const vm_settings::EntryVmSettings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}
ControlProcess::~ControlProcess() = default;

Result<Success> ControlProcess::Start() {
  for (const Result<Success>& started :
       {m_impl->gate.Start(), m_impl->operators.Start(), m_impl->gossip.Start()}) {
    if (!IsOk(started)) {
      return started;
    }
  }
  m_impl->platform.Start();
  m_impl->check_timer.StartRepeating(kCheckInterval);
  const vm_settings::EntryVmSettings& settings = m_impl->context.settings;
  m_impl->context.events.Add("started", {});
  logging::LogChange("process", "started",
                     {{"vm", settings.name},
                      {"operators", ToString(settings.addresses.operators)},
                      {"control_rpc", ToString(settings.addresses.control_rpc)},
                      {"gossip", ToString(settings.addresses.gossip)}});
  return Success{};
}

settings::ExitCode ControlProcess::Run() {
  m_impl->context.loop.Run();
  return settings::ExitCode::kSuccess;
}

}  // namespace qh::control
