#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>

#include "input_mutator.h"
#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/gateway/gateway_settings.h"
#include "quetzalhinge/gateway/row_copy.h"
#include "quetzalhinge/gossip/gossip_codec.h"
#include "quetzalhinge/http/message_reader.h"
#include "quetzalhinge/membership/gossip_planner.h"
#include "quetzalhinge/platform_adapter/messages.h"
#include "quetzalhinge/settings/ini_document.h"

// Fuzz tests of the parsers of untrusted input, with randomly mutated samples. They should also be
// run with the sanitizers: scripts/test-sanitized.sh.

namespace qh::fuzz {
namespace {

/**
 * Returns QH_FUZZ_SEED, which selects other inputs in manual runs, or a fixed seed if it is unset.
 */
std::uint64_t Seed() {
  constexpr std::uint64_t kFixedSeed = 20261204;
  const char* seed_text = std::getenv("QH_FUZZ_SEED");
  return seed_text == nullptr ? kFixedSeed : std::stoull(seed_text);
}

/** Inputs per test case; all test cases together take some seconds, also with sanitizers. */
constexpr int kInputs = 20000;

/** The result of reading one message. */
struct ReadOutcome {
  bool is_complete = false;
  std::optional<http::ReadFault> fault;
  std::size_t bytes = 0;
  std::string method;
  std::string path;
  int status = 0;
  std::string body;
  std::string headers;

  bool operator==(const ReadOutcome&) const = default;
};

/** Passes `input` to a reader in parts; `next_part_length` returns the length of each. */
template <typename NextPartLength>
ReadOutcome ReadInParts(http::MessageKind kind, const std::string& input,
                        const NextPartLength& next_part_length) {
  http::MessageReader reader(kind, {});
  ReadOutcome outcome;
  while (outcome.bytes < input.size() && !reader.IsComplete() && !reader.Fault().has_value()) {
    outcome.bytes += reader.Read(input.substr(outcome.bytes, next_part_length()));
  }
  outcome.is_complete = reader.IsComplete();
  outcome.fault = reader.Fault();
  if (outcome.fault.has_value()) {
    // The number of bytes read before a fault may differ: the connection is closed in any case.
    outcome.bytes = 0;
  }
  if (outcome.is_complete) {
    const bool is_request = kind == http::MessageKind::kRequest;
    const http::HttpRequest& request = reader.Request();
    outcome.method = request.method;
    outcome.path = request.path;
    outcome.status = reader.Response().status;
    outcome.body = is_request ? request.body : reader.Response().body;
    for (const http::HttpHeader& header :
         is_request ? request.headers : reader.Response().headers) {
      outcome.headers += header.name + ": " + header.value + "\n";
    }
  }
  return outcome;
}

/**
 * Checks that the inputs of `mutator` are read in the same way in one part and in many, and that no
 * accepted message has line breaks in its path or its headers.
 */
void CheckMessages(http::MessageKind kind, InputMutator& mutator) {
  int complete = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = mutator.Next();
    const ReadOutcome in_one_part = ReadInParts(kind, input, [&] { return input.size(); });
    const ReadOutcome in_parts = ReadInParts(kind, input, [&] { return 1 + mutator.Draw(7); });
    CAPTURE(i, input);
    REQUIRE(in_one_part == in_parts);
    if (in_one_part.is_complete) {
      ++complete;
      REQUIRE(in_one_part.bytes <= input.size());
      REQUIRE(in_one_part.path.find_first_of("\r\n ") == std::string::npos);
      REQUIRE(in_one_part.headers.find('\r') == std::string::npos);
    }
  }
  CHECK(complete > kInputs / 20);
}

// Guards against a request that is parsed differently depending on how it is split into packets,
// and against accepted requests with line breaks in the path or the headers.
TEST_CASE("A request is parsed identically in one part and in many") {
  InputMutator mutator(
      {"POST /a/b?c=d HTTP/1.1\r\nhost: shop.example\r\nx-id: 1\r\ncontent-length: 4\r\n\r\nbody",
       "POST /a/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
       "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, x-a\r\nx-a: 1\r\n\r\nGET /b HTTP/1.1"},
      Seed());
  CheckMessages(http::MessageKind::kRequest, mutator);
}

// Guards against a response that a caller gets in another form than the worker has sent it.
TEST_CASE("A response is parsed identically in one part and in many") {
  InputMutator mutator(
      {"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 4\r\n\r\nbody",
       "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n"
       "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nx-trailer: 1\r\n\r\n",
       "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\nx-id: 1\r\n\r\n"},
      Seed());
  CheckMessages(http::MessageKind::kResponse, mutator);
}

// Guards against configurations that are accepted with values outside their ranges.
TEST_CASE("An accepted configuration has values within their ranges") {
  InputMutator mutator(
      {R"({"version":"00000007","routes":[{"name":"r-1","host":"a.example","prefix":"/p/",)"
       R"("kind":"unsafe","timeout":"2500ms","target-latency":"800ms","priority":1,)"
       R"("service":"s1","max-attempts":2},{"name":"r-2","host":"b.example","prefix":"/q/",)"
       R"("kind":"safe","timeout":"2.5s","target-latency":"600ms","priority":2,"split":[)"
       R"({"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":2}],)"
       R"("services":[{"name":"s1","health-path":"/health","max-connections":220,)"
       R"("protocol":"h1","tls":false},{"name":"s2","health-path":"/health",)"
       R"("max-connections":220,"protocol":"h1","tls":false}],"limits":{)"
       R"("max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms",)"
       R"("idle-timeout":"15000ms"}})"},
      Seed());
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = mutator.Next();
    const auto parsed = platform_adapter::ParseConfiguration(input);
    if (!IsOk(parsed)) {
      continue;
    }
    ++accepted;
    CAPTURE(i, input);
    for (const routes::Route& route : ValueOf(parsed).routes) {
      REQUIRE(!route.targets.empty());
      REQUIRE(route.max_attempts >= 1);
      REQUIRE(route.timeout.count() >= 0);
      REQUIRE(route.target_latency.count() >= 0);
      REQUIRE(route.priority >= 0);
      for (const routes::RouteTarget& target : route.targets) {
        REQUIRE(std::isfinite(static_cast<double>(target.weight)));
        REQUIRE(target.weight >= 0);
      }
    }
    for (const routes::Service& service : ValueOf(parsed).services) {
      REQUIRE(service.max_connections >= 0);
    }
    REQUIRE(ValueOf(parsed).limits.header_timeout.count() >= 0);
    REQUIRE(ValueOf(parsed).limits.idle_timeout.count() >= 0);
  }
  CHECK(accepted > kInputs / 20);
}

// Guards against worker rows and load reports that are accepted with values outside their ranges.
TEST_CASE("An accepted worker row or load report has values within their ranges") {
  InputMutator rows({R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
                     R"("slots":6,"state":"ready","cold-remaining":"0ms","sequence":4,)"
                     R"("born":1796378000123})"},
                    Seed());
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = rows.Next();
    const auto parsed = platform_adapter::ParseWorker("w-1", input);
    if (IsOk(parsed)) {
      ++accepted;
      CAPTURE(i, input);
      REQUIRE(ValueOf(parsed).slots >= 0);
      REQUIRE(ValueOf(parsed).address.port > 0);
      REQUIRE(!ValueOf(parsed).service.empty());
    }
  }
  CHECK(accepted > kInputs / 20);

  InputMutator loads({"3,1,6,125", "0, 0, 6"}, Seed());
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = loads.Next();
    const auto load = platform_adapter::ParseLoad(input);
    if (load.has_value()) {
      CAPTURE(i, input);
      REQUIRE(load->running >= 0);
      REQUIRE(load->waiting >= 0);
      REQUIRE(load->slots >= 0);
      REQUIRE(std::isfinite(load->slowdown));
      REQUIRE(load->slowdown >= 0);
    }
  }

  InputMutator limit_inputs({"3.5", "120", "0"}, Seed());
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = limit_inputs.Next();
    const auto limit = platform_adapter::ParseLimit(input);
    if (limit.has_value()) {
      CAPTURE(i, input);
      REQUIRE(std::isfinite(*limit));
      REQUIRE(*limit >= 0);
    }
  }
}

membership::MemberRecord SampleRecord(const std::string& vm) {
  membership::MemberRecord record;
  record.vm = vm;
  record.zone = "timur";
  record.generation = 5;
  record.version = 1;
  record.heartbeat = 10;
  record.state = membership::MemberState::kLive;
  record.endpoints.gossip = {"127.0.1.1", 7000};
  return record;
}

std::string SampleMessage() {
  membership::GossipMessage message;
  message.sender = SampleRecord("vm-2");
  message.records = {SampleRecord("vm-3"), SampleRecord("vm-4")};
  message.heartbeats = {{0, 17, 4, std::chrono::milliseconds(300)}, {1, 18, 5, {}}};
  message.notices = {{membership::NoticeKind::kContractRevision, "s", "d", 7, 1000,
                      std::chrono::milliseconds(10000)}};
  return gossip::EncodeGossip(message);
}

// Guards against decoded gossip messages that make the next message too large or undecodable.
TEST_CASE("A decoded gossip message can be processed and forwarded") {
  InputMutator mutator({SampleMessage()}, Seed());
  membership::MemberTable table(SampleRecord("vm-1"));
  membership::NoticeBoard board;
  const membership::GossipPlanner planner;
  RandomGenerator random(Seed());
  constexpr UnixMicros kNow = 2000;
  for (int i = 0; i < kInputs; ++i) {
    const auto decoded = gossip::DecodeGossip(mutator.Next());
    if (!IsOk(decoded)) {
      continue;
    }
    planner.Receive(ValueOf(decoded), table, board, TimePoint{}, kNow);
    const auto planned = planner.PlanRound(table, board, TimePoint{}, kNow, random);
    if (planned.has_value()) {
      const std::string forwarded = gossip::EncodeGossip(planned->message);
      CAPTURE(i);
      REQUIRE(forwarded.size() <= membership::GossipOptions().max_datagram_bytes);
      REQUIRE(IsOk(gossip::DecodeGossip(forwarded)));
    }
  }
}

// Guards against datagrams that are accepted although they were modified after being authenticated.
TEST_CASE("A modified datagram is rejected") {
  const std::string key(auth::MessageAuthenticator::kMinKeyBytes, 'k');
  auto sender = TakeValue(auth::MessageAuthenticator::Create({key}, {}));
  constexpr UnixMicros kNow = 1'796'378'000'000'000;
  const std::string sealed = sender.Seal("vm-2", SampleMessage(), kNow);
  InputMutator mutator({sealed}, Seed());
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = mutator.Next();
    if (input == sealed) {
      continue;
    }
    auto receiver = TakeValue(auth::MessageAuthenticator::Create({key}, {}));
    CAPTURE(i);
    REQUIRE_FALSE(IsOk(receiver.Open(input, kNow)));
  }
}

// Guards against relayed rows that are decoded with negative ages or that cannot be encoded again.
TEST_CASE("Rows relayed by another VM are decoded completely or rejected") {
  gateway::RelayedRows relayed;
  relayed.rows.version = 12;
  relayed.rows.rows = {{"w-1", "value of w-1", 7, false}, {"w-2", "", 12, true}};
  relayed.age = std::chrono::milliseconds(250);
  relayed.held = std::chrono::milliseconds(900);
  relayed.since_outage = std::chrono::seconds(3);
  InputMutator mutator({gateway::EncodeRows(relayed)}, Seed());
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = mutator.Next();
    const auto decoded = gateway::DecodeRows("vm-2", input);
    if (IsOk(decoded)) {
      ++accepted;
      CAPTURE(i, input);
      REQUIRE(ValueOf(decoded).age >= Duration{});
      REQUIRE(ValueOf(decoded).held >= Duration{});
      REQUIRE(ValueOf(decoded).since_outage.value_or(Duration{}) >= Duration{});
      REQUIRE(IsOk(gateway::DecodeRows("vm-2", gateway::EncodeRows(ValueOf(decoded)))));
    }
  }
  CHECK(accepted > kInputs / 20);
}

// Guards against settings that are accepted with values outside their ranges.
TEST_CASE("Accepted settings have values within their ranges") {
  InputMutator mutator(
      {"[vm]\nname = vm-1\nzone = timur\nregion = jawa\n[listen]\ncallers = 10.1.0.15:8641\n"
       "ready = 10.1.0.15:8640\naddresses = 10.1.0.15:8644\ninternal_ip = 10.1.0.15\n"
       "internal_port = 7620\n[store]\nendpoint = 10.200.1.7:8260\n[gossip]\n"
       "deployment_key = a-key-of-some-length\ninterval = 300 ms\n[callers]\ncatch_up = 4s\n"
       "max_address_ttl = 5s\n[workers]\ndrain = 2000ms\n[retries]\nshare = 0.2\nslack = 10.5\n"
       "[stop]\ngrace = 6s\n"},
      Seed());
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string input = mutator.Next();
    const auto result = gateway::ParseGatewaySettings(settings::ParseIni("vm.ini", input));
    if (result.problems.empty()) {
      ++accepted;
      const gateway::GatewaySettings& settings = result.settings;
      CAPTURE(i, input);
      REQUIRE(!settings.name.empty());
      REQUIRE(settings.gossip_interval.count() > 0);
      REQUIRE(std::isfinite(settings.retry_share));
      REQUIRE(settings.retry_share >= 0);
      REQUIRE(std::isfinite(settings.retry_slack));
      REQUIRE(settings.retry_slack >= 0);
      REQUIRE(settings.catch_up.count() > 0);
      REQUIRE(settings.stop_grace.count() > 0);
      REQUIRE(settings.worker_drain.count() >= 0);
    }
  }
  CHECK(accepted > kInputs / 20);
}

}  // namespace
}  // namespace qh::fuzz
