#include "peer_links.h"

#include <kj/debug.h>

#include <map>
#include <utility>

#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/rpc/rpc_client.h"
#include "quetzalhinge/rpc/session_code.h"
#include "quetzalhinge/rpc/time_limit.h"

namespace qh::control {
namespace {

using rpc::wire::ControlGate;
using rpc::wire::ControlPeer;

constexpr std::chrono::milliseconds kIdleLimit{30000};
constexpr std::chrono::milliseconds kCleanInterval{5000};

/** One connection; `service` waits for its session to be opened. */
struct Link {
  rpc::RpcClient client;
  ControlPeer::Client service = nullptr;
  TimePoint used_at{};

  Link(rpc::KjEventLoop& kj_loop, const IpEndpoint& peer) : client(kj_loop, peer) {}
};

ControlPeer::Client OpenSession(rpc::RpcClient& client, const std::string& key,
                                const std::string& caller) {
  ControlGate::Client gate = client.Bootstrap().castAs<ControlGate>();
  return gate.challengeRequest().send().then([gate, key, caller](auto&& challenge) mutable {
    const auto bytes = challenge.getNonce();
    const std::string nonce(bytes.asChars().begin(), bytes.size());
    const std::string code = rpc::MakeSessionCode(key, nonce, caller, rpc::kControlPeerService);
    auto request = gate.openControlPeerRequest();
    request.setCaller(caller);
    request.setCode(kj::arrayPtr(reinterpret_cast<const kj::byte*>(code.data()), code.size()));
    return request.send().then(
        [](auto&& opened) -> ControlPeer::Client { return opened.getService(); });
  });
}

}  // namespace

struct PeerLinks::Impl {
  ControlContext& context;
  std::map<IpEndpoint, std::shared_ptr<Link>> links;
  net::Timer clean_timer;
  metrics::Counter& sent;
  metrics::Counter& received;
  metrics::Counter& failures;

  explicit Impl(ControlContext& process_context)
      : context(process_context),
        clean_timer(context.loop, [this] { CloseIdle(); }),
        sent(context.metrics.CounterOf("qh_control_messages_total",
                                       "kind=\"peer\",direction=\"sent\"")),
        received(context.metrics.CounterOf("qh_control_messages_total",
                                           "kind=\"peer\",direction=\"received\"")),
        failures(context.metrics.CounterOf("qh_control_peer_failures_total")) {
    clean_timer.StartRepeating(kCleanInterval);
  }

  std::shared_ptr<Link> LinkTo(const IpEndpoint& peer) {
    std::shared_ptr<Link>& link = links[peer];
    if (link == nullptr || link->client.IsDisconnected()) {
      link = std::make_shared<Link>(context.kj_loop, peer);
      link->service =
          OpenSession(link->client, context.settings.deployment_key, context.settings.name);
    }
    link->used_at = context.loop.Now();
    return link;
  }

  /** Sends a request with the time limit; a link that fails is given up. */
  template <typename Results, typename Request>
  kj::Promise<capnp::Response<Results>> Send(const IpEndpoint& peer,
                                             const std::shared_ptr<Link>& link, Request&& request) {
    using Answer = capnp::Response<Results>;
    sent.Add();
    kj::Promise<Answer> answer = request.send();
    return rpc::WithTimeLimit(context.loop, kPeerTimeout, kj::mv(answer))
        .then(
            [this](Answer&& response) -> kj::Promise<Answer> {
              received.Add();
              return kj::mv(response);
            },
            [this, peer, link](kj::Exception&& exception) -> kj::Promise<Answer> {
              failures.Add();
              Drop(peer, link);
              return kj::mv(exception);
            });
  }

  void Drop(const IpEndpoint& peer, const std::shared_ptr<Link>& link) {
    const auto found = links.find(peer);
    if (found != links.end() && found->second == link) {
      links.erase(found);
    }
    // Freed in a later round: the connection may be the one whose message is being handled.
    context.loop.Post([link] {});
  }

  void CloseIdle() {
    const TimePoint now = context.loop.Now();
    std::erase_if(links, [&](const auto& entry) {
      return entry.second->client.IsDisconnected() || now - entry.second->used_at > kIdleLimit;
    });
  }
};

PeerLinks::PeerLinks(ControlContext& context) : m_impl(std::make_unique<Impl>(context)) {}
PeerLinks::~PeerLinks() = default;

kj::Promise<messages::ContractUpdate> PeerLinks::FetchContracts(const IpEndpoint& peer,
                                                                contract::Revision revision) {
  const std::shared_ptr<Link> link = m_impl->LinkTo(peer);
  auto request = link->service.changesSinceRequest();
  request.setRevision(revision);
  return m_impl->Send<ControlPeer::ChangesSinceResults>(peer, link, kj::mv(request))
      .then([](auto&& response) -> kj::Promise<messages::ContractUpdate> {
        Result<messages::ContractUpdate> update =
            messages::ReadContractUpdate(response.getChanges());
        if (!IsOk(update)) {
          return KJ_EXCEPTION(FAILED, ErrorOf(update).detail);
        }
        return TakeValue(std::move(update));
      });
}

kj::Promise<capnp::Response<ControlPeer::WorkersResults>> PeerLinks::FetchWorkers(
    const IpEndpoint& peer) {
  const std::shared_ptr<Link> link = m_impl->LinkTo(peer);
  return m_impl->Send<ControlPeer::WorkersResults>(peer, link, link->service.workersRequest());
}

kj::Promise<capnp::Response<ControlPeer::BorrowResults>> PeerLinks::Borrow(
    const IpEndpoint& peer, capnp::Text::Reader customer,
    rpc::wire::BorrowRequest::Reader request) {
  const std::shared_ptr<Link> link = m_impl->LinkTo(peer);
  auto call = link->service.borrowRequest();
  call.setCustomer(customer);
  call.setRequest(request);
  return m_impl->Send<ControlPeer::BorrowResults>(peer, link, kj::mv(call));
}

}  // namespace qh::control
