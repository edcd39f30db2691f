#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/http/http_server.h"
#include "quetzalhinge/platform/platform_client.h"

namespace qh::platform {
namespace {

using http::HttpExchange;
using std::chrono::milliseconds;

/** For requests that get a response; long enough not to expire on a busy machine. */
constexpr milliseconds kAnsweredTimeout{20000};
/** For requests that get no response. */
constexpr milliseconds kUnansweredTimeout{50};

/** HTTP server with a replaceable handler, and a PlatformClient connected to it. */
struct FakePlatform {
  net::EventLoop loop;
  std::function<void(std::shared_ptr<HttpExchange>)> handler;
  std::unique_ptr<http::HttpServer> server;
  std::unique_ptr<PlatformClient> client;
  int writes = 0;

  explicit FakePlatform(milliseconds timeout = kAnsweredTimeout) {
    http::HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server = std::make_unique<http::HttpServer>(
        loop, options,
        [this](std::shared_ptr<HttpExchange> exchange) { handler(std::move(exchange)); });
    REQUIRE(IsOk(server->Start()));
    client = std::make_unique<PlatformClient>(
        loop, PlatformClientOptions{server->LocalEndpoint(), timeout});
  }

  void SetResponse(int status, const std::string& body) {
    handler = [status, body](const std::shared_ptr<HttpExchange>& exchange) {
      exchange->Respond({status, {}, body, false});
    };
  }

  /** Calls `start` with a callback and runs the loop until the callback receives the result. */
  template <typename T, typename Start>
  T Await(Start start) {
    std::unique_ptr<T> outcome;
    start([&](T result) {
      outcome = std::make_unique<T>(std::move(result));
      loop.Stop();
    });
    loop.Run();
    return std::move(*outcome);
  }

  TransactionResult Transact() {
    TableTransaction transaction;
    transaction.conditions = {{"head", 3}, {"log/000000000004", 0}};
    transaction.writes = {{"head", {{"revision", 4}}}};
    return Await<TransactionResult>(
        [&](auto callback) { client->Transact(transaction, std::move(callback)); });
  }
};

TEST_CASE("Rows are read by key and by prefix") {
  FakePlatform platform;
  std::string path;
  std::string body;
  int status = 200;
  platform.handler = [&](const std::shared_ptr<HttpExchange>& exchange) {
    path = exchange->Request().path;
    exchange->Respond({status, {}, body, false});
  };
  const auto read_row = [&] {
    return platform.Await<Result<std::optional<TableRow>>>(
        [&](auto callback) { platform.client->ReadRow("log/0 1", std::move(callback)); });
  };

  SECTION("a row has a version and a value, and its key is percent-encoded in the request") {
    body = R"({"key":"log/0 1","version":3,"value":{"revision":9}})";
    const auto row = read_row();
    REQUIRE(IsOk(row));
    REQUIRE(ValueOf(row).has_value());
    CHECK(ValueOf(row)->version == 3);
    CHECK(ValueOf(row)->value.at("revision") == 9);
    CHECK(path == "/v1/table/rows/log%2F0%201");
  }
  SECTION("an absent row is not an error") {
    status = 404;
    const auto row = read_row();
    REQUIRE(IsOk(row));
    CHECK_FALSE(ValueOf(row).has_value());
  }
  SECTION("rows are returned in order") {
    body = R"({"rows":[{"key":"a","version":1,"value":1},{"key":"b","version":2,"value":2}]})";
    const auto rows = platform.Await<Result<std::vector<TableRow>>>([&](auto callback) {
      platform.client->ReadRows("log/", "log/1", 10, std::move(callback));
    });
    REQUIRE(IsOk(rows));
    REQUIRE(ValueOf(rows).size() == 2);
    CHECK(ValueOf(rows)[1].key == "b");
    CHECK(path == "/v1/table/rows?prefix=log%2F&after=log%2F1&limit=10");
  }
}

TEST_CASE("The VM list contains valid records; other records are skipped and counted") {
  FakePlatform platform;
  platform.SetResponse(200, R"({"vms":[
    {"name":"jb-1","role":"entry","zone":"z","ip":"127.0.1.1","port":8000,"gossip_port":8003,
     "state":"live"},
    {"name":"k-1","role":"worker","service":"katalog","zone":"z","ip":"127.0.2.1","port":9,
     "state":"leaving"},
    {"name":"k-2","role":"worker","ip":"localhost","port":9,"state":"live"},
    {"name":"k-3","role":"other","ip":"127.0.2.3","port":9,"state":"live"}]})");
  const auto list = platform.Await<Result<VmList>>(
      [&](auto callback) { platform.client->ReadVmList(std::move(callback)); });
  REQUIRE(IsOk(list));
  CHECK(ValueOf(list).skipped == 2);
  REQUIRE(ValueOf(list).vms.size() == 2);
  CHECK(ValueOf(list).vms[0].gossip == IpEndpoint{"127.0.1.1", 8003});
  CHECK(ValueOf(list).vms[1].state == VmState::kLeaving);
}

TEST_CASE("Objects are returned unchanged") {
  FakePlatform platform;
  std::string stored;
  platform.handler = [&](const std::shared_ptr<HttpExchange>& exchange) {
    if (exchange->Request().method == "PUT") {
      stored = exchange->Request().body;
    }
    exchange->Respond({200, {}, stored, false});
  };
  CHECK(IsOk(platform.Await<Result<Success>>(
      [&](auto callback) { platform.client->PutObject("a", "bytes", std::move(callback)); })));
  const auto object = platform.Await<Result<std::optional<std::string>>>(
      [&](auto callback) { platform.client->GetObject("a", std::move(callback)); });
  REQUIRE(IsOk(object));
  CHECK(ValueOf(object) == "bytes");
}

TEST_CASE("A transaction distinguishes applied, conflict, not written and unknown") {
  FakePlatform platform;
  SECTION("applied") {
    std::string sent;
    platform.handler = [&](const std::shared_ptr<HttpExchange>& exchange) {
      sent = exchange->Request().body;
      exchange->Respond({200, {}, R"({"applied":true})", false});
    };
    CHECK(std::holds_alternative<TransactionApplied>(platform.Transact()));
    CHECK(nlohmann::json::parse(sent) ==
          nlohmann::json::parse(R"({"conditions":[{"key":"head","version":3},
            {"key":"log/000000000004","version":0}],
            "writes":[{"key":"head","value":{"revision":4}}]})"));
  }
  SECTION("conflict: the result contains the current version of the row") {
    platform.SetResponse(409, R"({"applied":false,"key":"head","version":4})");
    const auto result = platform.Transact();
    REQUIRE(std::holds_alternative<TransactionConflict>(result));
    CHECK(std::get<TransactionConflict>(result).version == 4);
  }
  SECTION("no listener: not written") {
    platform.server->StopAccepting();
    platform.loop.RunOnce(milliseconds(10));
    const auto result = platform.Transact();
    REQUIRE(std::holds_alternative<TransactionFailure>(result));
    CHECK(std::get<TransactionFailure>(result).certainty == WriteCertainty::kNotWritten);
  }
}

/** A fault of the platform and the expected result of reads and transactions. */
struct FaultCase {
  const char* name;
  milliseconds timeout;
  std::function<void(FakePlatform&)> arrange;
  ErrorCode code;
  int writes = 0;
};

TEST_CASE("Every fault results in an error with step and peer, and an unknown write outcome") {
  std::vector<std::shared_ptr<HttpExchange>> unanswered;
  const auto respond_with = [](int status, const char* body) {
    return [status, body](FakePlatform& platform) { platform.SetResponse(status, body); };
  };
  const std::vector<FaultCase> cases{
      {"outage", kAnsweredTimeout, respond_with(503, "{}"), ErrorCode::kUnavailable},
      {"no response", kUnansweredTimeout,
       [&](FakePlatform& platform) {
         platform.handler = [&](std::shared_ptr<HttpExchange> exchange) {
           unanswered.push_back(std::move(exchange));
         };
       },
       ErrorCode::kTimeout},
      {"response lost after the write", kUnansweredTimeout,
       [&](FakePlatform& platform) {
         platform.handler = [&](std::shared_ptr<HttpExchange> exchange) {
           platform.writes += exchange->Request().method == "POST" ? 1 : 0;
           unanswered.push_back(std::move(exchange));
         };
       },
       ErrorCode::kTimeout, 1},
      {"malformed JSON", kAnsweredTimeout, respond_with(200, "{\"applied\":tr"),
       ErrorCode::kProtocol},
      {"unexpected JSON", kAnsweredTimeout, respond_with(200, "[]"), ErrorCode::kProtocol},
      {"conflict without a row", kAnsweredTimeout, respond_with(409, "{}"), ErrorCode::kProtocol},
      {"unexpected status", kAnsweredTimeout, respond_with(500, "{\"applied\":true}"),
       ErrorCode::kProtocol},
  };
  for (const FaultCase& row : cases) {
    CAPTURE(row.name);
    FakePlatform platform(row.timeout);
    row.arrange(platform);
    const auto read = platform.Await<Result<std::optional<TableRow>>>(
        [&](auto callback) { platform.client->ReadRow("head", std::move(callback)); });
    REQUIRE_FALSE(IsOk(read));
    CHECK(ErrorOf(read).code == row.code);
    CHECK(ErrorOf(read).step == "read row");
    CHECK(ErrorOf(read).peer == ToString(platform.server->LocalEndpoint()));

    const auto written = platform.Transact();
    REQUIRE(std::holds_alternative<TransactionFailure>(written));
    const auto& failure = std::get<TransactionFailure>(written);
    CHECK(failure.certainty == WriteCertainty::kUnknown);
    CHECK(failure.error.code == row.code);
    CHECK(failure.error.step == "transaction");
    CHECK(platform.writes == row.writes);
    unanswered.clear();
  }
}

}  // namespace
}  // namespace qh::platform
