#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "processes.capnp.h"
#include "quetzalhinge/rpc/rpc_client.h"
#include "quetzalhinge/rpc/rpc_server.h"
#include "quetzalhinge/rpc/session_code.h"
#include "quetzalhinge/rpc/time_limit.h"

namespace qh::rpc {
namespace {

/** Answers resolveKey() with the key's length as status and a large body. */
class EchoPeer : public wire::EntryPeer::Server {
 public:
  kj::Promise<void> resolveKey(ResolveKeyContext context) override {
    auto response = context.getResults().initResponse();
    response.setStatus(static_cast<std::uint16_t>(context.getParams().getKey().size()));
    response.initBody(1000000);
    return kj::READY_NOW;
  }
};

TEST_CASE("A capability is called over TCP on a libuv loop") {
  net::EventLoop loop;
  KjEventLoop kj_loop(loop);
  auto server = std::make_unique<RpcServer>(
      kj_loop, IpEndpoint{"127.0.0.1", 0}, [](const std::shared_ptr<RpcSession>&) {
        return capnp::Capability::Client(wire::EntryPeer::Client(kj::heap<EchoPeer>()));
      });
  REQUIRE(IsOk(server->Start()));
  RpcClient client(kj_loop, server->LocalEndpoint());
  wire::EntryPeer::Client peer = client.Bootstrap().castAs<wire::EntryPeer>();

  SECTION("a large result arrives complete") {
    auto request = peer.resolveKeyRequest();
    request.setKey("abc");
    std::size_t body_size = 0;
    kj_loop.Detach(
        request.send().then([&](capnp::Response<wire::EntryPeer::ResolveKeyResults>&& response) {
          CHECK(response.getResponse().getStatus() == 3);
          body_size = response.getResponse().getBody().size();
          loop.Stop();
        }));
    loop.Run();
    CHECK(body_size == 1000000);

    SECTION("the client is notified when the server closes the connection") {
      client.OnDisconnect([&] { loop.Stop(); });
      server.reset();
      loop.Run();
      CHECK(client.IsDisconnected());
    }
  }
}

// Guards against a process that runs out of memory or descriptors because of connections of
// programs that do not know the deployment's key.
TEST_CASE("Connections without authentication are limited") {
  net::EventLoop loop;
  KjEventLoop kj_loop(loop);
  std::vector<std::shared_ptr<RpcSession>> sessions;
  RpcServerLimits limits;
  limits.max_unauthenticated = 2;
  limits.max_unauthenticated_bytes = 1000;
  RpcServer server(
      kj_loop, IpEndpoint{"127.0.0.1", 0},
      [&](std::shared_ptr<RpcSession> session) {
        sessions.push_back(std::move(session));
        return capnp::Capability::Client(wire::EntryPeer::Client(kj::heap<EchoPeer>()));
      },
      limits);
  REQUIRE(IsOk(server.Start()));
  const auto run_until = [&](const std::function<bool()>& condition) {
    const TimePoint until = loop.Now() + std::chrono::seconds(20);
    while (!condition() && loop.Now() < until) {
      loop.RunOnce(std::chrono::milliseconds(10));
    }
    return condition();
  };
  const auto connect = [&] {
    auto client = std::make_unique<RpcClient>(kj_loop, server.LocalEndpoint());
    const std::size_t connected = sessions.size() + 1;
    REQUIRE(run_until([&] { return sessions.size() == connected; }));
    return client;
  };
  const auto send = [&](RpcClient& client, std::size_t key_bytes) {
    auto request = client.Bootstrap().castAs<wire::EntryPeer>().resolveKeyRequest();
    request.setKey(std::string(key_bytes, 'k'));
    auto is_answered = std::make_shared<bool>(false);
    kj_loop.Detach(request.send().then([is_answered](auto&&) { *is_answered = true; }));
    return is_answered;
  };
  const auto first = connect();

  SECTION("one that sends too much is closed") {
    send(*first, 2000);
    CHECK(run_until([&] { return first->IsDisconnected(); }));
    CHECK(run_until([&] { return server.OpenConnections() == 0; }));
  }
  SECTION("an authenticated one may send as much as it wants") {
    sessions.front()->SetAuthenticated();
    const auto is_answered = send(*first, 100'000);
    CHECK(run_until([&] { return *is_answered; }));
  }
  SECTION("a new one replaces the oldest, but none that is authenticated") {
    sessions.front()->SetAuthenticated();
    const auto second = connect();
    const auto third = connect();
    const auto fourth = connect();
    CHECK(run_until([&] { return second->IsDisconnected(); }));
    CHECK(server.OpenConnections() == 3);
    CHECK(server.ReplacedConnections() == 1);
    CHECK_FALSE(first->IsDisconnected());
    const auto is_answered = send(*first, 10);
    CHECK(run_until([&] { return *is_answered; }));
  }
}

TEST_CASE("A call to an address without a listener fails instead of waiting forever") {
  net::EventLoop loop;
  KjEventLoop kj_loop(loop);
  RpcClient client(kj_loop, IpEndpoint{"127.0.0.1", 1});
  std::string failure;
  kj_loop.Detach(client.Bootstrap().castAs<wire::EntryPeer>().resolveKeyRequest().send().then(
      [](capnp::Response<wire::EntryPeer::ResolveKeyResults>&&) {},
      [&](kj::Exception&& exception) {
        failure = DescribeException(exception);
        loop.Stop();
      }));
  loop.Run();
  CHECK(failure.find("refused") != std::string::npos);
  CHECK(client.IsDisconnected());
}

TEST_CASE("A promise that never completes fails at its time limit") {
  net::EventLoop loop;
  KjEventLoop kj_loop(loop);
  bool expired = false;
  kj::Promise<int> never = kj::NEVER_DONE;
  kj_loop.Detach(WithTimeLimit(loop, std::chrono::milliseconds(1), kj::mv(never))
                     .then([](int) {},
                           [&](kj::Exception&& exception) {
                             expired = exception.getType() == kj::Exception::Type::OVERLOADED;
                             loop.Stop();
                           }));
  loop.Run();
  CHECK(expired);
}

TEST_CASE("A session code depends on the nonce, the caller, the service and the key") {
  const std::string nonce = MakeNonce();
  const std::string code = MakeSessionCode("key", nonce, "jb-1", "peer");
  CHECK(CodesEqual(code, MakeSessionCode("key", nonce, "jb-1", "peer")));
  CHECK_FALSE(CodesEqual(code, MakeSessionCode("kez", nonce, "jb-1", "peer")));
  CHECK_FALSE(CodesEqual(code, MakeSessionCode("key", MakeNonce(), "jb-1", "peer")));
  CHECK_FALSE(CodesEqual(code, MakeSessionCode("key", nonce, "jb-", "1peer")));
}

}  // namespace
}  // namespace qh::rpc
