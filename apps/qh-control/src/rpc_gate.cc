#include "rpc_gate.h"

#include <kj/debug.h>

#include <string>
#include <utility>

#include "quetzalhinge/messages/contract_messages.h"
#include "quetzalhinge/messages/member_messages.h"
#include "quetzalhinge/rpc/rpc_server.h"
#include "quetzalhinge/rpc/session_code.h"
#include "worker_messages.h"

namespace qh::control {
namespace {

using rpc::wire::ControlGate;
using rpc::wire::ControlPeer;
using rpc::wire::EntryControl;

/** State shared by the services of all connections. */
struct ServiceContext {
  ControlContext& context;
  const contract::ContractBook& book;
  EntryLink& entry;
  PeerLinks& peers;
  const GateBackend& backend;
  metrics::Counter& peer_received;
  metrics::Counter& peer_sent_bytes;
};

// The names of the service methods come from the schema.
// NOLINTBEGIN(readability-identifier-naming)

/** The session of one qh-entry; ends with its connection. */
class EntryControlService : public EntryControl::Server {
 public:
  explicit EntryControlService(ServiceContext& services) : m_services(services) {}
  ~EntryControlService() { m_services.entry.Detach(m_session); }

  kj::Promise<void> attach(AttachContext call) override {
    const auto params = call.getParams();
    m_session = m_services.entry.Attach(params.getHello().getIncarnation(), params.getAgent());
    return kj::READY_NOW;
  }

  kj::Promise<void> reportStatus(ReportStatusContext call) override {
    m_services.entry.HandleStatus(m_session, call.getParams().getStatus());
    return kj::READY_NOW;
  }

  kj::Promise<void> publishNotice(PublishNoticeContext call) override {
    m_services.entry.HandleNotice(call.getParams().getNotice());
    return kj::READY_NOW;
  }

  kj::Promise<void> borrow(BorrowContext call) override {
    const auto params = call.getParams();
    const auto lender = m_services.backend.ControlRpcOfSlot(params.getRequest().getLenderSlot());
    if (!lender.has_value()) {
      return kj::READY_NOW;  // The default results mean that no loan is granted.
    }
    return m_services.peers.Borrow(*lender, params.getCustomer(), params.getRequest())
        .then(
            [call](auto&& response) mutable {
              call.getResults().setGranted(response.getGranted());
              call.getResults().setGrant(response.getGrant());
            },
            [](kj::Exception&&) {});
  }

 private:
  ServiceContext& m_services;
  std::uint64_t m_session = 0;
};

/** Serves the qh-control of another VM. */
class ControlPeerService : public ControlPeer::Server {
 public:
  explicit ControlPeerService(ServiceContext& services) : m_services(services) {}

  kj::Promise<void> changesSince(ChangesSinceContext call) override {
    m_services.peer_received.Add();
    const contract::Revision revision = call.getParams().getRevision();
    auto results = call.getResults();
    messages::WriteContractUpdate(
        {m_services.book.ChangesSince(revision), m_services.book.CurrentRevision()},
        results.initChanges());
    m_services.peer_sent_bytes.Add(results.totalSize().wordCount * sizeof(capnp::word));
    return kj::READY_NOW;
  }

  kj::Promise<void> borrow(BorrowContext call) override {
    m_services.peer_received.Add();
    const auto params = call.getParams();
    return m_services.entry.Lend(params.getCustomer(), params.getRequest())
        .then(
            [call](auto&& response) mutable {
              call.getResults().setGranted(response.getGranted());
              call.getResults().setGrant(response.getGrant());
            },
            [](kj::Exception&&) {});
  }

  kj::Promise<void> workers(WorkersContext call) override {
    m_services.peer_received.Add();
    const auto& workers = m_services.backend.Workers();
    auto results = call.getResults();
    results.setKnown(workers.has_value());
    if (workers.has_value()) {
      WriteWorkers(*workers, results.initWorkers(static_cast<unsigned>(workers->size())));
    }
    return kj::READY_NOW;
  }

 private:
  ServiceContext& m_services;
};

/**
 * Bootstrap capability of a connection. Returns a service to a client whose session code matches
 * the nonce of the connection.
 */
class GateService : public ControlGate::Server {
 public:
  GateService(ServiceContext& services, std::shared_ptr<rpc::RpcSession> session)
      : m_services(services), m_session(std::move(session)), m_nonce(rpc::MakeNonce()) {}

  kj::Promise<void> challenge(ChallengeContext call) override {
    call.getResults().setNonce(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(m_nonce.data()), m_nonce.size()));
    return kj::READY_NOW;
  }

  kj::Promise<void> openEntryControl(OpenEntryControlContext call) override {
    const auto params = call.getParams();
    const std::string caller = messages::ReadText(params.getCaller());
    if (caller != m_services.context.settings.name ||
        !IsAuthentic(caller, params.getCode(), rpc::kEntryControlService)) {
      return RejectSession(caller);
    }
    call.getResults().setService(kj::heap<EntryControlService>(m_services));
    return kj::READY_NOW;
  }

  kj::Promise<void> openControlPeer(OpenControlPeerContext call) override {
    const auto params = call.getParams();
    const std::string caller = messages::ReadText(params.getCaller());
    if (!IsAuthentic(caller, params.getCode(), rpc::kControlPeerService)) {
      return RejectSession(caller);
    }
    call.getResults().setService(kj::heap<ControlPeerService>(m_services));
    return kj::READY_NOW;
  }

 private:
  bool IsAuthentic(const std::string& caller, capnp::Data::Reader code, std::string_view service) {
    const std::string actual_code(code.asChars().begin(), code.size());
    const bool authentic =
        !m_rejected && rpc::CodesEqual(actual_code, rpc::MakeSessionCode(
                                                        m_services.context.settings.deployment_key,
                                                        m_nonce, caller, service));
    // After one wrong code, the connection can no longer open a session.
    m_rejected = !authentic;
    if (authentic) {
      m_session->SetAuthenticated();
    }
    return authentic;
  }

  kj::Promise<void> RejectSession(const std::string& caller) {
    m_rejected = true;
    m_services.context.metrics.CounterOf("qh_control_sessions_refused_total").Add();
    return KJ_EXCEPTION(FAILED, "the session code is wrong", caller);
  }

  ServiceContext& m_services;
  std::shared_ptr<rpc::RpcSession> m_session;
  std::string m_nonce;
  bool m_rejected = false;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

struct RpcGate::Impl {
  ServiceContext services;
  rpc::RpcServer server;

  Impl(ControlContext& context, const contract::ContractBook& book, EntryLink& entry,
       PeerLinks& peers, const GateBackend& backend)
      : services{context,
                 book,
                 entry,
                 peers,
                 backend,
                 context.metrics.CounterOf("qh_control_messages_total",
                                           "kind=\"peer\",direction=\"received\""),
                 context.metrics.CounterOf("qh_control_bytes_total",
                                           "kind=\"peer\",direction=\"sent\"")},
        server(
            context.kj_loop, context.settings.addresses.control_rpc,
            [this](std::shared_ptr<rpc::RpcSession> session) {
              return capnp::Capability::Client(
                  ControlGate::Client(kj::heap<GateService>(services, std::move(session))));
            },
            LimitsOf(context.capacity.others)) {
    context.overload_monitor.Watch(
        "control_rpc", [this, max = context.capacity.others.max_connections] {
          return overload::ListenerUsage{server.OpenConnections(), max,
                                         server.ReplacedConnections(), 0};
        });
  }

  static rpc::RpcServerLimits LimitsOf(const overload::ListenerCapacity& capacity) {
    rpc::RpcServerLimits limits;
    limits.max_unauthenticated = capacity.max_connections;
    limits.receive_buffer_bytes = static_cast<int>(capacity.receive_buffer_bytes);
    return limits;
  }
};

RpcGate::RpcGate(ControlContext& context, const contract::ContractBook& book, EntryLink& entry,
                 PeerLinks& peers, const GateBackend& backend)
    : m_impl(std::make_unique<Impl>(context, book, entry, peers, backend)) {}
RpcGate::~RpcGate() = default;

Result<Success> RpcGate::Start() { return m_impl->server.Start(); }

}  // namespace qh::control
