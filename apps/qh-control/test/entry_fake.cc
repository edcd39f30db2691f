#include "entry_fake.h"

#include <kj/debug.h>

#include <utility>

#include "quetzalhinge/messages/contract_messages.h"
#include "quetzalhinge/messages/member_messages.h"
#include "quetzalhinge/rpc/rpc_client.h"
#include "quetzalhinge/rpc/session_code.h"

namespace qh::control {
namespace {

using rpc::wire::ControlGate;
using rpc::wire::EntryControl;

constexpr std::uint64_t kIncarnation = 0x1234;

/** Records the calls of qh-control. Grants every loan in full. */
class RecordingAgent : public rpc::wire::EntryAgent::Server {
 public:
  explicit RecordingAgent(std::shared_ptr<EntryRecord> record) : m_record(std::move(record)) {}

  // NOLINTBEGIN(readability-identifier-naming): the names come from the schema.
  kj::Promise<void> applyContracts(ApplyContractsContext call) override {
    const auto update = messages::ReadContractUpdate(call.getParams().getChanges());
    if (!IsOk(update)) {
      return KJ_EXCEPTION(FAILED, "the update has another form");
    }
    const auto& changes = ValueOf(update).changes;
    if (const auto* list = std::get_if<std::vector<contract::ContractChange>>(&changes)) {
      for (const contract::ContractChange& change : *list) {
        if (change.revision != m_record->revision + 1) {
          return KJ_EXCEPTION(FAILED, "a gap in the changes");
        }
        m_record->revision = change.revision;
        m_record->customers.push_back(change.customer);
      }
    } else {
      m_record->revision = std::get<contract::ContractSnapshot>(changes).revision;
    }
    call.getResults().setRevision(m_record->revision);
    return kj::READY_NOW;
  }

  kj::Promise<void> applyView(ApplyViewContext call) override {
    m_record->live_members.clear();
    m_record->workers.clear();
    for (const auto& member : call.getParams().getView().getMembers()) {
      if (member.getState() == rpc::wire::MemberState::LIVE) {
        m_record->live_members.push_back(messages::ReadText(member.getName()));
      }
    }
    for (const auto& worker : call.getParams().getView().getWorkers()) {
      m_record->workers.push_back(messages::ReadText(worker.getName()));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> applyNotice(ApplyNoticeContext call) override {
    const auto notice = messages::ReadNotice(call.getParams().getNotice());
    if (!IsOk(notice)) {
      return KJ_EXCEPTION(FAILED, "the notice has another form");
    }
    m_record->notices.push_back(ValueOf(notice));
    return kj::READY_NOW;
  }

  kj::Promise<void> confirm(ConfirmContext call) override {
    m_record->confirmed_revision = call.getParams().getRevision();
    m_record->last_confirmation_age_ms = call.getParams().getAgeMillis();
    ++m_record->confirmations;
    return kj::READY_NOW;
  }

  kj::Promise<void> lend(LendContext call) override {
    ++m_record->lend_requests;
    const auto request = call.getParams().getRequest();
    call.getResults().setGranted(true);
    auto grant = call.getResults().initGrant();
    grant.setRequestId(request.getRequestId());
    grant.setFraction(request.getFraction());
    return kj::READY_NOW;
  }

  kj::Promise<void> drain(DrainContext) override {
    m_record->draining = true;
    return kj::READY_NOW;
  }

  kj::Promise<void> timeline(TimelineContext call) override {
    call.getResults().setEventsJson(
        R"([{"wall_us":1,"counter":0,"vm":"vm-1","process":"qh-entry","kind":"entry_event"}])");
    return kj::READY_NOW;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  std::shared_ptr<EntryRecord> m_record;
};

}  // namespace

struct EntryFake::Impl {
  rpc::KjEventLoop& kj_loop;
  rpc::RpcClient client;
  std::string vm;
  std::string key;
  EntryControl::Client control = nullptr;
  std::shared_ptr<EntryRecord> record = std::make_shared<EntryRecord>();
  bool attached = false;
  std::string failure;
  double loaned_fraction = -1;

  Impl(rpc::KjEventLoop& loop, const vm_settings::EntryVmSettings& settings,
       std::string session_key)
      : kj_loop(loop),
        client(loop, settings.addresses.control_rpc),
        vm(settings.name),
        key(std::move(session_key)) {}

  kj::Promise<void> Open(ControlGate::Client gate, capnp::Data::Reader nonce_data) {
    const auto nonce = nonce_data.asChars();
    const std::string code =
        rpc::MakeSessionCode(key, {nonce.begin(), nonce.size()}, vm, rpc::kEntryControlService);
    auto open = gate.openEntryControlRequest();
    open.setCaller(vm);
    open.setCode(kj::StringPtr(code.c_str(), code.size()).asBytes());
    control = open.send().getService();
    auto attach = control.attachRequest();
    attach.initHello().setVm(vm);
    attach.getHello().setIncarnation(kIncarnation);
    attach.setAgent(kj::heap<RecordingAgent>(record));
    return attach.send().ignoreResult();
  }
};

EntryFake::EntryFake(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
                     const std::string& key)
    : m_impl(std::make_shared<Impl>(kj_loop, settings, key)) {
  auto gate = m_impl->client.Bootstrap().castAs<ControlGate>();
  kj_loop.Detach(gate.challengeRequest()
                     .send()
                     .then([impl = m_impl, gate](auto&& response) mutable {
                       return impl->Open(gate, response.getNonce());
                     })
                     .then([impl = m_impl] { impl->attached = true; },
                           [impl = m_impl](kj::Exception&& exception) {
                             impl->failure = rpc::DescribeException(exception);
                           }));
}

EntryFake::~EntryFake() = default;

const EntryRecord& EntryFake::Record() const noexcept { return *m_impl->record; }
bool EntryFake::IsAttached() const noexcept { return m_impl->attached; }
const std::string& EntryFake::Failure() const noexcept { return m_impl->failure; }
double EntryFake::LoanedFraction() const noexcept { return m_impl->loaned_fraction; }

void EntryFake::ReportStatus(bool ready, std::uint32_t in_progress) {
  auto request = m_impl->control.reportStatusRequest();
  request.initStatus().setReady(ready);
  request.getStatus().setInProgress(in_progress);
  request.getStatus().setRevision(m_impl->record->revision);
  m_impl->kj_loop.Detach(request.send().ignoreResult());
}

void EntryFake::Publish(const membership::Notice& notice) {
  auto request = m_impl->control.publishNoticeRequest();
  messages::WriteNotice(notice, request.initNotice());
  m_impl->kj_loop.Detach(request.send().ignoreResult());
}

void EntryFake::Borrow(std::uint32_t lender_slot, double fraction) {
  m_impl->loaned_fraction = -1;
  auto request = m_impl->control.borrowRequest();
  request.setCustomer("semarang");
  request.initRequest().setLenderSlot(lender_slot);
  request.getRequest().setRequestId(7);
  request.getRequest().setFraction(fraction);
  m_impl->kj_loop.Detach(request.send().then([impl = m_impl](auto&& response) {
    impl->loaned_fraction = response.getGranted() ? response.getGrant().getFraction() : 0;
  }));
}

}  // namespace qh::control
