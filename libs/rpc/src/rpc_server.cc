#include "quetzalhinge/rpc/rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <uv.h>

#include <list>
#include <utility>

#include "uv_stream.h"

namespace qh::rpc {
namespace {

constexpr int kListenBacklog = 128;

/** One accepted connection. */
struct ServerConnection {
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

  ServerConnection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER),
        system(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
};

}  // namespace

struct RpcServer::Impl {
  KjEventLoop& kj_loop;
  IpEndpoint listen;
  BootstrapFactory factory;
  uv_tcp_t* listener = nullptr;
  IpEndpoint local;
  std::list<ServerConnection> connections;
  /** Expires with this object, so that disconnect handlers that run later do nothing. */
  std::shared_ptr<Impl*> lifetime = std::make_shared<Impl*>(this);

  Impl(KjEventLoop& loop, IpEndpoint endpoint, BootstrapFactory bootstrap_factory)
      : kj_loop(loop), listen(std::move(endpoint)), factory(std::move(bootstrap_factory)) {}

  static void OnConnection(uv_stream_t* listener, int status) {
    if (status != 0) {
      return;
    }
    auto* handle = new uv_tcp_t{};
    uv_tcp_init(listener->loop, handle);
    if (uv_accept(listener, reinterpret_cast<uv_stream_t*>(handle)) != 0) {
      CloseTcpHandle(handle);
      return;
    }
    static_cast<Impl*>(listener->data)->Add(MakeUvStream(handle));
  }

  void Add(kj::Own<kj::AsyncIoStream> stream) {
    connections.emplace_back(kj::mv(stream), factory());
    const auto connection = std::prev(connections.end());
    kj_loop.Detach(connection->network.onDisconnect().then(
        [this, connection, weak = std::weak_ptr<Impl*>(lifetime)] {
          if (!weak.expired()) {
            connections.erase(connection);
          }
        }));
  }
};

RpcServer::RpcServer(KjEventLoop& kj_loop, const IpEndpoint& listen, BootstrapFactory factory)
    : m_impl(std::make_unique<Impl>(kj_loop, listen, std::move(factory))) {}

RpcServer::~RpcServer() {
  if (m_impl->listener != nullptr) {
    CloseTcpHandle(m_impl->listener);
  }
}

Result<Success> RpcServer::Start() {
  auto* listener = new uv_tcp_t{};
  uv_tcp_init(m_impl->kj_loop.Loop().Handle(), listener);
  listener->data = m_impl.get();
  m_impl->listener = listener;
  const sockaddr_in address = ToSockaddr(m_impl->listen);
  int status = uv_tcp_bind(listener, reinterpret_cast<const sockaddr*>(&address), 0);
  if (status == 0) {
    status =
        uv_listen(reinterpret_cast<uv_stream_t*>(listener), kListenBacklog, Impl::OnConnection);
  }
  if (status != 0) {
    return Error{ErrorCode::kUnavailable, "listen rpc", ToString(m_impl->listen),
                 uv_strerror(status)};
  }
  sockaddr_in local{};
  int size = sizeof(local);
  uv_tcp_getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size);
  m_impl->local = FromSockaddr(local);
  return Success{};
}

IpEndpoint RpcServer::LocalEndpoint() const { return m_impl->local; }

}  // namespace qh::rpc
