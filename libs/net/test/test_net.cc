#include <catch2/catch.hpp>
#include <string>
#include <thread>

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

// Guards against a wait without a limit after a pause of the process that was longer than the
// limit.
TEST_CASE("RunOnce() waits no longer than its limit after a pause of the process") {
  EventLoop loop;
  bool has_fallback_run = false;
  Timer fallback(loop, [&] { has_fallback_run = true; });
  fallback.StartOnce(std::chrono::seconds(10));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  loop.RunOnce(std::chrono::milliseconds(20));
  CHECK_FALSE(has_fallback_run);
}

}  // namespace
}  // namespace qh::net
