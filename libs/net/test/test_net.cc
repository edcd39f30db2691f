#include <catch2/catch.hpp>
#include <string>

#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/net/udp_socket.h"

namespace qh::net {
namespace {

TEST_CASE("An event loop runs posted tasks, timers and datagram callbacks") {
  EventLoop loop;

  SECTION("a posted task runs later, never from within Post()") {
    bool ran = false;
    loop.Post([&] {
      ran = true;
      loop.Stop();
    });
    CHECK_FALSE(ran);
    loop.Run();
    CHECK(ran);
  }
  SECTION("a timer may destroy itself in its callback") {
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(loop, [&] {
      timer.reset();
      loop.Stop();
    });
    timer->StartOnce(std::chrono::milliseconds(1));
    loop.Run();
    CHECK(timer == nullptr);
  }
  SECTION("a datagram arrives with its sender") {
    std::string received;
    IpEndpoint sender;
    UdpSocket receiver(loop, [&](const IpEndpoint& from, std::string_view data) {
      received = data;
      sender = from;
      loop.Stop();
    });
    UdpSocket sender_socket(loop, [](const IpEndpoint&, std::string_view) {});
    REQUIRE(IsOk(receiver.Bind({"127.0.0.1", 0})));
    REQUIRE(IsOk(sender_socket.Bind({"127.0.0.1", 0})));
    CHECK_FALSE(IsOk(sender_socket.Bind(receiver.LocalEndpoint())));
    CHECK(sender_socket.Send(receiver.LocalEndpoint(), "hello"));
    loop.Run();
    CHECK(received == "hello");
    CHECK(sender == sender_socket.LocalEndpoint());
  }
}

}  // namespace
}  // namespace qh::net
