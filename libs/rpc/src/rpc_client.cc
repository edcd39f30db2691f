#include "quetzalhinge/rpc/rpc_client.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>

#include <utility>

#include "uv_stream.h"

namespace qh::rpc {
namespace {

/** An established connection. */
struct ClientConnection {
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

  explicit ClientConnection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT),
        system(capnp::makeRpcClient(network)) {}

  capnp::Capability::Client Bootstrap() {
    capnp::word scratch[4]{};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, 4));
    auto server_id = message.getRoot<capnp::rpc::twoparty::VatId>();
    server_id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(server_id);
  }
};

}  // namespace

struct RpcClient::Impl {
  std::unique_ptr<ClientConnection> connection;
  std::function<void()> on_disconnect;
  capnp::Capability::Client bootstrap = nullptr;
  bool disconnected = false;

  void OnDisconnected() {
    if (disconnected) {
      return;
    }
    disconnected = true;
    if (on_disconnect != nullptr) {
      // Copies the callback, because it may destroy the client.
      const std::function<void()> callback = on_disconnect;
      callback();
    }
  }
};

RpcClient::RpcClient(KjEventLoop& kj_loop, const IpEndpoint& peer)
    : m_impl(std::make_shared<Impl>()) {
  const std::weak_ptr<Impl> weak = m_impl;
  auto connected =
      ConnectUvStream(kj_loop.Loop().Handle(), peer)
          .then([&kj_loop, weak](kj::Own<kj::AsyncIoStream> stream) -> capnp::Capability::Client {
            const std::shared_ptr<Impl> impl = weak.lock();
            if (impl == nullptr) {
              return KJ_EXCEPTION(DISCONNECTED, "the client is gone");
            }
            impl->connection = std::make_unique<ClientConnection>(kj::mv(stream));
            kj_loop.Detach(impl->connection->network.onDisconnect().then([weak] {
              if (const std::shared_ptr<Impl> locked = weak.lock()) {
                locked->OnDisconnected();
              }
            }));
            return impl->connection->Bootstrap();
          });
  auto forked = connected.fork();
  m_impl->bootstrap = forked.addBranch();
  kj_loop.Detach(forked.addBranch().then([](capnp::Capability::Client&&) {},
                                         [weak](kj::Exception&&) {
                                           if (const std::shared_ptr<Impl> impl = weak.lock()) {
                                             impl->OnDisconnected();
                                           }
                                         }));
}

RpcClient::~RpcClient() { m_impl->on_disconnect = nullptr; }

capnp::Capability::Client RpcClient::Bootstrap() { return m_impl->bootstrap; }

void RpcClient::OnDisconnect(std::function<void()> callback) {
  m_impl->on_disconnect = std::move(callback);
}

bool RpcClient::IsDisconnected() const noexcept { return m_impl->disconnected; }

}  // namespace qh::rpc
