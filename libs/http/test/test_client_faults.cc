#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "quetzalhinge/http/http_client.h"
#include "scripted_peer.h"

namespace qh::http {
namespace {

/** Calls `worker` and returns the result. */
HttpCallResult Call(net::EventLoop& loop, const ScriptedPeer& worker) {
  HttpClient client(loop, worker.Endpoint(), {});
  std::optional<HttpCallResult> result;
  const auto call = client.Start({"GET", "/", {}, ""}, 60s,
                                 [&](HttpCallResult value) { result = std::move(value); });
  RunUntil(loop, [&] { return result.has_value(); });
  return *result;
}

}  // namespace

// Guards against a response that looks complete although its sender stopped within it.
SCENARIO("A client does not return a response that ends before its end") {
  net::EventLoop loop;
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: own\r\n";
  for (const std::string& response :
       {head + "Content-Length: 5\r\n\r\nhello",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
    for (std::size_t size = 1; size < response.size(); ++size) {
      CAPTURE(response.substr(0, size));
      const ScriptedPeer worker(loop, response.substr(0, size), true);
      CHECK(std::holds_alternative<HttpCallFailure>(Call(loop, worker)));
    }
    const ScriptedPeer worker(loop, response, true);
    const auto result = Call(loop, worker);
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).body == "hello");
  }
}

// Guards against a process that runs out of memory because a peer sends a head without end.
SCENARIO("A client rejects a response head that is too large before it ends") {
  net::EventLoop loop;
  const ScriptedPeer worker(loop, "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x'), false);
  const auto result = Call(loop, worker);
  REQUIRE(std::holds_alternative<HttpCallFailure>(result));
  CHECK(std::get<HttpCallFailure>(result).error.code == ErrorCode::kProtocol);
}

// Guards against a process that runs out of memory because several peers send bodies without end.
SCENARIO("The calls of several clients share a limit on the memory for responses") {
  constexpr std::size_t kBudget = 100'000;
  net::EventLoop loop;
  HttpClientOptions options;
  options.memory_budget = std::make_shared<MemoryBudget>(kBudget);
  const ScriptedPeer endless(
      loop, "HTTP/1.1 200 OK\r\ncontent-length: 90000000\r\n\r\n" + std::string(90'000, 'x'),
      false);
  const std::string sound_body(20'000, 'y');
  const ScriptedPeer sound(loop, "HTTP/1.1 200 OK\r\ncontent-length: 20000\r\n\r\n" + sound_body,
                           false);
  HttpClient endless_client(loop, endless.Endpoint(), options);
  HttpClient sound_client(loop, sound.Endpoint(), options);
  std::optional<HttpCallResult> endless_result;
  std::optional<HttpCallResult> sound_result;
  const auto endless_call = endless_client.Start(
      {"GET", "/", {}, ""}, 60s, [&](HttpCallResult value) { endless_result = std::move(value); });
  RunUntil(loop, [&] { return options.memory_budget->Reserved() >= 90'000; });
  const auto sound_call = sound_client.Start(
      {"GET", "/", {}, ""}, 60s, [&](HttpCallResult value) { sound_result = std::move(value); });
  RunUntil(loop, [&] { return endless_result.has_value() && sound_result.has_value(); });
  REQUIRE(std::holds_alternative<HttpResponse>(*sound_result));
  CHECK(std::get<HttpResponse>(*sound_result).body == sound_body);
  REQUIRE(std::holds_alternative<HttpCallFailure>(*endless_result));
  CHECK(std::get<HttpCallFailure>(*endless_result).error.code == ErrorCode::kExhausted);
  CHECK(std::get<HttpCallFailure>(*endless_result).stage == CallStage::kResponseStarted);
  // The complete response counts as long as it exists.
  CHECK(options.memory_budget->Reserved() == std::get<HttpResponse>(*sound_result).body.capacity());
  sound_result.reset();
  CHECK(options.memory_budget->Reserved() == 0);
}

// Guards against a caller that gets a response with an invalid status code.
SCENARIO("A client rejects a response without a valid status code") {
  net::EventLoop loop;
  for (const std::string status :
       {"000", "020", "099", "101", "600", "999", "0", "20", "00200", "2000"}) {
    CAPTURE(status);
    const ScriptedPeer worker(loop, "HTTP/1.1 " + status + " text\r\ncontent-length: 2\r\n\r\nok",
                              false);
    const auto result = Call(loop, worker);
    const auto* failure = std::get_if<HttpCallFailure>(&result);
    CHECK(failure != nullptr);
    // The request was sent, so it may have run.
    CHECK((failure == nullptr || failure->stage != CallStage::kNotConnected));
  }
}

// Guards against a caller that gets a response with a malformed line, or with a body that the
// worker did not send.
SCENARIO("A client rejects a response with a malformed line in its head") {
  using namespace std::string_literals;
  net::EventLoop loop;
  const std::string head = "HTTP/1.1 200 OK\r\nx-other: y\r\n";
  const std::string length = "content-length: 2\r\n\r\nok";
  for (const std::string& line :
       {"x bad: 1\r\n"s, "x-bad : 1\r\n"s, " x-bad: 1\r\n"s, "\tx-bad: 1\r\n"s, "x\tbad: 1\r\n"s,
        "x\rbad: 1\r\n"s, "\rx-bad: 1\r\n"s, "x\0bad: 1\r\n"s, "x\001bad: 1\r\n"s,
        "x\177bad: 1\r\n"s, "x(bad: 1\r\n"s, "x/bad: 1\r\n"s, "x\200bad: 1\r\n"s, ": 1\r\n"s,
        "content-length : 1\r\n"s, " content-length: 1\r\n"s, "transfer-encoding : chunked\r\n"s,
        "x-bad\r\n"s, "x: y\rcontent-length: 1\r\n"s}) {
    CAPTURE(line);
    const ScriptedPeer worker(loop, head + line + length, true);
    CHECK(std::holds_alternative<HttpCallFailure>(Call(loop, worker)));
  }
  for (const std::string& line :
       {"!#$%&'*+-.^_`|~0189azAZ: y\r\n"s, "x:\r\n"s, "x: a\tb \200\377\r\n"s}) {
    CAPTURE(line);
    const ScriptedPeer worker(loop, head + line + length, true);
    const auto result = Call(loop, worker);
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).body == "ok");
  }
}

}  // namespace qh::http
