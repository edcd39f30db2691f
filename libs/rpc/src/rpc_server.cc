#include "quetzalhinge/rpc/rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <uv.h>

#include <list>
#include <utility>

#include "uv_stream.h"

namespace qh::rpc {
namespace {

constexpr int kListenBacklog = 128;

/** State of a session that outlives its connection if a capability still refers to it. */
class SessionState : public RpcSession {
 public:
  explicit SessionState(std::size_t max_unauthenticated_bytes)
      : m_limit(std::make_shared<ReceiveLimit>(ReceiveLimit{max_unauthenticated_bytes})) {}

  void SetAuthenticated() override {
    m_is_authenticated = true;
    m_limit->max_bytes = std::numeric_limits<std::size_t>::max();
  }

  bool IsAuthenticated() const noexcept { return m_is_authenticated; }
  std::shared_ptr<const ReceiveLimit> Limit() const { return m_limit; }

 private:
  std::shared_ptr<ReceiveLimit> m_limit;
  bool m_is_authenticated = false;
};

/** One accepted connection. */
struct ServerConnection {
  /** Identifies the connection in the server. */
  std::uint64_t number;
  std::shared_ptr<SessionState> session;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

  ServerConnection(std::uint64_t connection_number, std::shared_ptr<SessionState> state,
                   kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
      : number(connection_number),
        session(std::move(state)),
        stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER),
        system(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
};

}  // namespace

struct RpcServer::Impl {
  KjEventLoop& kj_loop;
  IpEndpoint listen;
  BootstrapFactory factory;
  RpcServerLimits limits;
  uv_tcp_t* listener = nullptr;
  IpEndpoint local;
  /** Oldest first. */
  std::list<ServerConnection> connections;
  std::uint64_t next_connection = 0;
  std::size_t replaced_connections = 0;
  /** Expires with this object, so that disconnect handlers that run later do nothing. */
  std::shared_ptr<Impl*> lifetime = std::make_shared<Impl*>(this);

  Impl(KjEventLoop& loop, IpEndpoint endpoint, BootstrapFactory bootstrap_factory,
       const RpcServerLimits& server_limits)
      : kj_loop(loop),
        listen(std::move(endpoint)),
        factory(std::move(bootstrap_factory)),
        limits(server_limits) {}

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
    static_cast<Impl*>(listener->data)->Add(handle);
  }

  void Add(uv_tcp_t* handle) {
    ReplaceOldest();
    auto session = std::make_shared<SessionState>(limits.max_unauthenticated_bytes);
    const std::uint64_t number = next_connection++;
    connections.emplace_back(number, session, MakeUvStream(handle, session->Limit()),
                             factory(session));
    kj_loop.Detach(connections.back().network.onDisconnect().then(
        [this, number, weak = std::weak_ptr<Impl*>(lifetime)] {
          if (!weak.expired()) {
            connections.remove_if([number](const ServerConnection& connection) {
              return connection.number == number;
            });
          }
        }));
  }

  /** Closes the oldest connection without authentication if there are too many of them. */
  void ReplaceOldest() {
    std::size_t unauthenticated = 0;
    auto oldest = connections.end();
    for (auto connection = connections.begin(); connection != connections.end(); ++connection) {
      if (!connection->session->IsAuthenticated()) {
        ++unauthenticated;
        oldest = oldest == connections.end() ? connection : oldest;
      }
    }
    if (oldest != connections.end() && unauthenticated >= limits.max_unauthenticated) {
      connections.erase(oldest);
      ++replaced_connections;
    }
  }
};

RpcServer::RpcServer(KjEventLoop& kj_loop, const IpEndpoint& listen, BootstrapFactory factory,
                     const RpcServerLimits& limits)
    : m_impl(std::make_unique<Impl>(kj_loop, listen, std::move(factory), limits)) {}

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
  if (status == 0 && m_impl->limits.receive_buffer_bytes > 0) {
    // Accepted connections inherit it. Without the option, the process can still serve.
    int bytes = m_impl->limits.receive_buffer_bytes;
    (void)uv_recv_buffer_size(reinterpret_cast<uv_handle_t*>(listener), &bytes);
  }
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
std::size_t RpcServer::OpenConnections() const noexcept { return m_impl->connections.size(); }
std::size_t RpcServer::ReplacedConnections() const noexcept { return m_impl->replaced_connections; }

}  // namespace qh::rpc
