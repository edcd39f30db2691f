#include "peer_link.h"

#include <kj/debug.h>

#include <array>
#include <utility>

#include "processes.capnp.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/rpc/rpc_client.h"
#include "quetzalhinge/rpc/rpc_server.h"
#include "quetzalhinge/rpc/session_code.h"
#include "wire_forms.h"

namespace qh::entry {
namespace {

using idempotency::KeyRefusal;
using idempotency::KeyReplay;
using idempotency::ResolveResult;

constexpr std::chrono::milliseconds kResolveTimeout{500};
constexpr const char* kEntryPeerService = "EntryPeer";

struct KeyStateRow {
  KeyRefusal refusal;
  rpc::wire::KeyState state;
};
constexpr std::array<KeyStateRow, 6> kKeyStates{{
    {KeyRefusal::kRefused, rpc::wire::KeyState::REFUSED},
    {KeyRefusal::kInProgress, rpc::wire::KeyState::RUNNING},
    {KeyRefusal::kOutcomeUnknown, rpc::wire::KeyState::UNKNOWN},
    {KeyRefusal::kLost, rpc::wire::KeyState::LOST},
    {KeyRefusal::kReused, rpc::wire::KeyState::REUSED},
    {KeyRefusal::kNotBarred, rpc::wire::KeyState::NOT_BARRED},
}};

rpc::wire::KeyState ToWire(KeyRefusal refusal) {
  for (const KeyStateRow& row : kKeyStates) {
    if (row.refusal == refusal) {
      return row.state;
    }
  }
  // From any other refusal, the requesting VM may only conclude that the outcome is unknown.
  return rpc::wire::KeyState::UNKNOWN;
}

KeyRefusal FromWire(rpc::wire::KeyState state) {
  for (const KeyStateRow& row : kKeyStates) {
    if (row.state == state) {
      return row.refusal;
    }
  }
  return KeyRefusal::kOutcomeUnknown;
}

class EntryPeerServer : public rpc::wire::EntryPeer::Server {
 public:
  explicit EntryPeerServer(const KeyResolver& resolver) : m_resolver(resolver) {}

  // NOLINTNEXTLINE(readability-identifier-naming): the name comes from the schema.
  kj::Promise<void> resolveKey(ResolveKeyContext context) override {
    const auto params = context.getParams();
    const ResolveResult result = m_resolver(params.getKey().cStr(), params.getFingerprint());
    auto results = context.getResults();
    if (const auto* replay = std::get_if<KeyReplay>(&result)) {
      results.setState(rpc::wire::KeyState::DONE);
      WriteStoredResponse(*replay->response, results.initResponse());
    } else {
      results.setState(ToWire(std::get<KeyRefusal>(result)));
    }
    return kj::READY_NOW;
  }

 private:
  const KeyResolver& m_resolver;
};

/**
 * Returns the EntryPeer service only to a caller that presents a valid session code for the nonce
 * of this connection.
 */
class EntryGateServer : public rpc::wire::EntryGate::Server {
 public:
  EntryGateServer(const std::string& key, const KeyResolver& resolver,
                  std::shared_ptr<rpc::RpcSession> session)
      : m_key(key),
        m_resolver(resolver),
        m_session(std::move(session)),
        m_nonce(rpc::MakeNonce()) {}

  // NOLINTBEGIN(readability-identifier-naming): the names come from the schema.
  kj::Promise<void> challenge(ChallengeContext context) override {
    context.getResults().setNonce(kj::StringPtr(m_nonce.c_str(), m_nonce.size()).asBytes());
    return kj::READY_NOW;
  }

  kj::Promise<void> openEntryPeer(OpenEntryPeerContext context) override {
    const auto code = context.getParams().getCode().asChars();
    const std::string expected = rpc::MakeSessionCode(
        m_key, m_nonce, context.getParams().getCaller().cStr(), kEntryPeerService);
    if (!rpc::CodesEqual(std::string_view(code.begin(), code.size()), expected)) {
      return KJ_EXCEPTION(FAILED, "session code does not match");
    }
    m_session->SetAuthenticated();
    context.getResults().setService(kj::heap<EntryPeerServer>(m_resolver));
    return kj::READY_NOW;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  const std::string& m_key;
  const KeyResolver& m_resolver;
  std::shared_ptr<rpc::RpcSession> m_session;
  std::string m_nonce;
};

/** A connection to the qh-entry of another VM and the service that was opened on it. */
struct PeerConnection {
  IpEndpoint peer;
  std::unique_ptr<rpc::RpcClient> client;
  rpc::wire::EntryPeer::Client service = nullptr;
};

}  // namespace

struct PeerLink::Impl : std::enable_shared_from_this<PeerLink::Impl> {
  rpc::KjEventLoop& kj_loop;
  const vm_settings::EntryVmSettings& settings;
  KeyResolver resolver;
  rpc::RpcServer server;
  std::map<std::string, PeerConnection> connections;

  Impl(rpc::KjEventLoop& loop, const vm_settings::EntryVmSettings& vm_settings,
       KeyResolver key_resolver, const rpc::RpcServerLimits& limits)
      : kj_loop(loop),
        settings(vm_settings),
        resolver(std::move(key_resolver)),
        server(
            loop, vm_settings.addresses.entry_rpc,
            [this](std::shared_ptr<rpc::RpcSession> session) {
              return capnp::Capability::Client(
                  rpc::wire::EntryGate::Client(kj::heap<EntryGateServer>(
                      settings.deployment_key, resolver, std::move(session))));
            },
            limits) {}

  rpc::wire::EntryPeer::Client ServiceOf(const EntryVm& vm) {
    PeerConnection& connection = connections[vm.name];
    if (connection.client == nullptr || connection.client->IsDisconnected() ||
        connection.peer != vm.entry_rpc) {
      connection.peer = vm.entry_rpc;
      connection.client = std::make_unique<rpc::RpcClient>(kj_loop, vm.entry_rpc);
      connection.service =
          OpenPeerService(connection.client->Bootstrap().castAs<rpc::wire::EntryGate>());
    }
    return connection.service;
  }

  rpc::wire::EntryPeer::Client OpenPeerService(rpc::wire::EntryGate::Client gate) const {
    return gate.challengeRequest().send().then(
        [gate, this](capnp::Response<rpc::wire::EntryGate::ChallengeResults>&& response) mutable
        -> rpc::wire::EntryPeer::Client {
          const auto nonce = response.getNonce().asChars();
          const std::string code = rpc::MakeSessionCode(
              settings.deployment_key, std::string_view(nonce.begin(), nonce.size()), settings.name,
              kEntryPeerService);
          auto request = gate.openEntryPeerRequest();
          request.setCaller(settings.name);
          request.setCode(kj::StringPtr(code.c_str(), code.size()).asBytes());
          return request.send().getService();
        });
  }
};

namespace {

/** A ResolveKey() in progress; ends with the response, a failure or the time-out. */
struct PendingResolve {
  PeerLink::ResolveCallback callback;
  std::unique_ptr<net::Timer> timer;

  void Finish(std::optional<ResolveResult> result) {
    if (callback == nullptr) {
      return;
    }
    const PeerLink::ResolveCallback pending_callback = std::exchange(callback, nullptr);
    timer.reset();
    pending_callback(std::move(result));
  }
};

ResolveResult ReadResolveResult(
    const capnp::Response<rpc::wire::EntryPeer::ResolveKeyResults>& response) {
  if (response.getState() == rpc::wire::KeyState::DONE) {
    return KeyReplay{std::make_shared<const idempotency::StoredResponse>(
        ReadStoredResponse(response.getResponse()))};
  }
  return FromWire(response.getState());
}

}  // namespace

PeerLink::PeerLink(rpc::KjEventLoop& kj_loop, const vm_settings::EntryVmSettings& settings,
                   KeyResolver resolver, const rpc::RpcServerLimits& limits)
    : m_impl(std::make_shared<Impl>(kj_loop, settings, std::move(resolver), limits)) {}

PeerLink::~PeerLink() = default;

Result<Success> PeerLink::Start() { return m_impl->server.Start(); }
const rpc::RpcServer& PeerLink::Server() const noexcept { return m_impl->server; }

void PeerLink::ResolveKey(const EntryVm& holder, const std::string& key, std::uint64_t fingerprint,
                          ResolveCallback callback) {
  auto pending = std::make_shared<PendingResolve>();
  pending->callback = std::move(callback);
  pending->timer = std::make_unique<net::Timer>(m_impl->kj_loop.Loop(),
                                                [impl = m_impl, pending, vm = holder.name] {
                                                  // A silent connection would cause a time-out of
                                                  // every later request too.
                                                  impl->connections.erase(vm);
                                                  pending->Finish(std::nullopt);
                                                });
  pending->timer->StartOnce(kResolveTimeout);
  auto request = m_impl->ServiceOf(holder).resolveKeyRequest();
  request.setKey(key);
  request.setFingerprint(fingerprint);
  m_impl->kj_loop.Detach(request.send().then(
      [pending](capnp::Response<rpc::wire::EntryPeer::ResolveKeyResults>&& response) {
        pending->Finish(ReadResolveResult(response));
      },
      [pending](kj::Exception&&) { pending->Finish(std::nullopt); }));
}

}  // namespace qh::entry
