#include "control_link.h"

#include <kj/debug.h>

#include <utility>

#include "processes.capnp.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/messages/contract_messages.h"
#include "quetzalhinge/messages/member_messages.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/rpc/rpc_client.h"
#include "quetzalhinge/rpc/session_code.h"
#include "wire_forms.h"

namespace qh::entry {
namespace {

using rpc::wire::ControlGate;
using rpc::wire::EntryControl;

constexpr std::chrono::milliseconds kAttachInterval{100};
constexpr const char* kEntryControlService = "EntryControl";

/** RPC service for qh-control. `*listener` is null after the ControlLink has been destroyed. */
class EntryAgentServer : public rpc::wire::EntryAgent::Server {
 public:
  explicit EntryAgentServer(std::shared_ptr<ControlListener*> listener)
      : m_listener(std::move(listener)) {}

  // NOLINTBEGIN(readability-identifier-naming): the names come from the schema.
  kj::Promise<void> applyContracts(ApplyContractsContext context) override {
    auto update = messages::ReadContractUpdate(context.getParams().getChanges());
    if (!IsOk(update)) {
      logging::LogError("control_link", ErrorOf(update));
      return KJ_EXCEPTION(FAILED, "contract changes have another form");
    }
    context.getResults().setRevision(Listener().OnContracts(TakeValue(std::move(update)).changes));
    return kj::READY_NOW;
  }

  kj::Promise<void> applyView(ApplyViewContext context) override {
    const auto view = context.getParams().getView();
    Listener().OnView(ReadMembers(view), ReadWorkers(view));
    return kj::READY_NOW;
  }

  kj::Promise<void> applyNotice(ApplyNoticeContext context) override {
    const auto notice = messages::ReadNotice(context.getParams().getNotice());
    // Notices of a kind that this version does not know are ignored.
    if (IsOk(notice)) {
      Listener().OnNotice(ValueOf(notice));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> confirm(ConfirmContext context) override {
    const auto params = context.getParams();
    Listener().OnConfirmation(params.getRevision(),
                              std::chrono::milliseconds(params.getAgeMillis()));
    return kj::READY_NOW;
  }

  kj::Promise<void> lend(LendContext context) override {
    const auto params = context.getParams();
    const auto grant =
        Listener().OnBorrow(params.getCustomer().cStr(), ReadBorrowRequest(params.getRequest()));
    auto results = context.getResults();
    results.setGranted(grant.has_value());
    if (grant.has_value()) {
      WriteLoanGrant(*grant, results.initGrant());
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> drain(DrainContext /*context*/) override {
    Listener().OnDrain();
    return kj::READY_NOW;
  }

  kj::Promise<void> timeline(TimelineContext context) override {
    context.getResults().setEventsJson(
        Listener().OnTimeline(context.getParams().getFilterJson().cStr()));
    return kj::READY_NOW;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  ControlListener& Listener() {
    KJ_REQUIRE(*m_listener != nullptr, "the entry is stopping");
    return **m_listener;
  }

  std::shared_ptr<ControlListener*> m_listener;
};

}  // namespace

struct ControlLink::Impl : std::enable_shared_from_this<ControlLink::Impl> {
  rpc::KjEventLoop& kj_loop;
  const vm_settings::EntryVmSettings& settings;
  std::uint64_t incarnation;
  std::shared_ptr<ControlListener*> listener;
  net::Timer attach_timer;
  std::unique_ptr<rpc::RpcClient> client;
  EntryControl::Client control = nullptr;
  bool attached = false;
  /** Number of the current connection; callbacks of earlier connections are ignored. */
  std::uint64_t current_generation = 0;

  Impl(rpc::KjEventLoop& loop, const vm_settings::EntryVmSettings& vm_settings,
       std::uint64_t entry_incarnation, ControlListener& control_listener)
      : kj_loop(loop),
        settings(vm_settings),
        incarnation(entry_incarnation),
        listener(std::make_shared<ControlListener*>(&control_listener)),
        attach_timer(loop.Loop(), [this] { Attach(); }) {}

  void Attach() {
    const std::uint64_t connection_generation = ++current_generation;
    client = std::make_unique<rpc::RpcClient>(kj_loop, settings.addresses.control_rpc);
    client->OnDisconnect([weak = weak_from_this(), connection_generation] {
      if (const std::shared_ptr<Impl> impl = weak.lock()) {
        impl->OnDisconnected(connection_generation);
      }
    });
    auto gate = client->Bootstrap().castAs<ControlGate>();
    kj_loop.Detach(
        gate.challengeRequest()
            .send()
            .then([this, gate](capnp::Response<ControlGate::ChallengeResults>&& response) mutable {
              return OpenAndAttach(gate, response.getNonce());
            })
            .then([weak = weak_from_this(), connection_generation] {
              if (const std::shared_ptr<Impl> impl = weak.lock()) {
                impl->OnAttached(connection_generation);
              }
            })
            .catch_([weak = weak_from_this(), connection_generation](kj::Exception&&) {
              if (const std::shared_ptr<Impl> impl = weak.lock()) {
                impl->OnDisconnected(connection_generation);
              }
            }));
  }

  kj::Promise<void> OpenAndAttach(ControlGate::Client gate, capnp::Data::Reader nonce_data) {
    const auto nonce = nonce_data.asChars();
    const std::string code =
        rpc::MakeSessionCode(settings.deployment_key, std::string_view(nonce.begin(), nonce.size()),
                             settings.name, kEntryControlService);
    auto open = gate.openEntryControlRequest();
    open.setCaller(settings.name);
    open.setCode(kj::StringPtr(code.c_str(), code.size()).asBytes());
    control = open.send().getService();
    auto attach = control.attachRequest();
    auto hello = attach.initHello();
    hello.setVm(settings.name);
    hello.setIncarnation(incarnation);
    attach.setAgent(kj::heap<EntryAgentServer>(listener));
    return attach.send().ignoreResult();
  }

  void OnAttached(std::uint64_t connection_generation) {
    if (connection_generation != current_generation) {
      return;
    }
    attached = true;
    logging::LogChange("control_link", "attach",
                       {{"peer", ToString(settings.addresses.control_rpc)}});
  }

  void OnDisconnected(std::uint64_t connection_generation) {
    if (connection_generation != current_generation) {
      return;
    }
    ++current_generation;
    if (attached) {
      logging::LogError("control_link",
                        {ErrorCode::kUnavailable, "attached", "qh-control", "connection lost"});
    }
    attached = false;
    attach_timer.StartOnce(kAttachInterval);
  }
};

ControlLink::ControlLink(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
                         std::uint64_t incarnation, ControlListener& listener)
    : m_impl(std::make_shared<Impl>(kj_loop, settings, incarnation, listener)) {}

ControlLink::~ControlLink() { *m_impl->listener = nullptr; }

void ControlLink::Start() { m_impl->Attach(); }

bool ControlLink::IsAttached() const noexcept { return m_impl->attached; }

void ControlLink::ReportStatus(const EntryReport& report) {
  if (!m_impl->attached) {
    return;
  }
  auto request = m_impl->control.reportStatusRequest();
  auto status = request.initStatus();
  status.setInProgress(report.in_progress);
  status.setRevision(report.revision);
  status.setReady(report.ready);
  status.setDraining(report.draining);
  m_impl->kj_loop.Detach(request.send().ignoreResult());
}

void ControlLink::Publish(const membership::Notice& notice) {
  if (!m_impl->attached) {
    return;
  }
  auto request = m_impl->control.publishNoticeRequest();
  messages::WriteNotice(notice, request.initNotice());
  m_impl->kj_loop.Detach(request.send().ignoreResult());
}

void ControlLink::RequestLoan(const CustomerBorrowRequest& request) {
  if (!m_impl->attached) {
    return;
  }
  auto borrow = m_impl->control.borrowRequest();
  borrow.setCustomer(request.customer);
  WriteBorrowRequest(request.request, borrow.initRequest());
  m_impl->kj_loop.Detach(
      borrow.send().then([listener = m_impl->listener, customer = request.customer](
                             capnp::Response<EntryControl::BorrowResults>&& response) {
        if (*listener != nullptr && response.getGranted()) {
          (*listener)->OnGrant(customer, ReadLoanGrant(response.getGrant()));
        }
      }));
}

}  // namespace qh::entry
