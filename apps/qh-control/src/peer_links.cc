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

constexpr std::chrono::milliseconds kIdleTimeout{30000};
constexpr std::chrono::milliseconds kIdleCheckInterval{5000};

/** One connection. Calls on `session` are queued until the session is open. */
struct Link {
  rpc::RpcClient client;
  ControlPeer::Client session = nullptr;
  TimePoint last_used_at{};

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
  net::Timer idle_timer;
  metrics::Counter& sent;
  metrics::Counter& received;
  metrics::Counter& failures;

  explicit Impl(ControlContext& process_context)
      : context(process_context),
        idle_timer(context.loop, [this] { CloseIdleLinks(); }),
        sent(context.metrics.CounterOf("qh_control_messages_total",
                                       "kind=\"peer\",direction=\"sent\"")),
        received(context.metrics.CounterOf("qh_control_messages_total",
                                           "kind=\"peer\",direction=\"received\"")),
        failures(context.metrics.CounterOf("qh_control_peer_failures_total")) {
    idle_timer.StartRepeating(kIdleCheckInterval);
  }

  std::shared_ptr<Link> GetLink(const IpEndpoint& peer) {
    std::shared_ptr<Link>& link = links[peer];
    if (link == nullptr || link->client.IsDisconnected()) {
      link = std::make_shared<Link>(context.kj_loop, peer);
      link->session =
          OpenSession(link->client, context.settings.deployment_key, context.settings.name);
    }
    link->last_used_at = context.loop.Now();
    return link;
  }

  /** Sends a request with time limit kPeerTimeout. Removes the link if the request fails. */
  template <typename Results, typename Request>
  kj::Promise<capnp::Response<Results>> Send(const IpEndpoint& peer,
                                             const std::shared_ptr<Link>& link, Request&& request) {
    using Response = capnp::Response<Results>;
    sent.Add();
    kj::Promise<Response> response_promise = request.send();
    return rpc::WithTimeLimit(context.loop, kPeerTimeout, kj::mv(response_promise))
        .then(
            [this](Response&& response) -> kj::Promise<Response> {
              received.Add();
              return kj::mv(response);
            },
            [this, peer, link](kj::Exception&& exception) -> kj::Promise<Response> {
              failures.Add();
              RemoveLink(peer, link);
              return kj::mv(exception);
            });
  }

  void RemoveLink(const IpEndpoint& peer, const std::shared_ptr<Link>& link) {
    const auto it = links.find(peer);
    if (it != links.end() && it->second == link) {
      links.erase(it);
    }
    // Destroy the link in a later iteration of the event loop, because the message being handled
    // may have come from its connection.
    context.loop.Post([link] {});
  }

  void CloseIdleLinks() {
    const TimePoint now = context.loop.Now();
    std::erase_if(links, [&](const auto& entry) {
      return entry.second->client.IsDisconnected() ||
             now - entry.second->last_used_at > kIdleTimeout;
    });
  }
};

PeerLinks::PeerLinks(ControlContext& context) : m_impl(std::make_unique<Impl>(context)) {}
PeerLinks::~PeerLinks() = default;

kj::Promise<messages::ContractUpdate> PeerLinks::FetchContracts(const IpEndpoint& peer,
                                                                contract::Revision revision) {
  const std::shared_ptr<Link> link = m_impl->GetLink(peer);
  auto request = link->session.changesSinceRequest();
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
  const std::shared_ptr<Link> link = m_impl->GetLink(peer);
  return m_impl->Send<ControlPeer::WorkersResults>(peer, link, link->session.workersRequest());
}

kj::Promise<capnp::Response<ControlPeer::BorrowResults>> PeerLinks::Borrow(
    const IpEndpoint& peer, capnp::Text::Reader customer,
    rpc::wire::BorrowRequest::Reader request) {
  const std::shared_ptr<Link> link = m_impl->GetLink(peer);
  auto call = link->session.borrowRequest();
  call.setCustomer(customer);
  call.setRequest(request);
  return m_impl->Send<ControlPeer::BorrowResults>(peer, link, kj::mv(call));
}

}  // namespace qh::control
