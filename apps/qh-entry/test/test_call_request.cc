#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "call_request.h"
#include "fake_exchange.h"

namespace qh::entry {
namespace {

http::HttpRequest GoodRequest() {
  return {"POST",
          "/svc/pesanan/orders?rush=1",
          {{"host", "127.0.1.1:8000"},
           {"x-qh-customer", "semarang"},
           {"x-qh-deadline-ms", "250"},
           {"idempotency-key", "k"},
           {"connection", "x-hop"},
           {"x-hop", "1"},
           {"x-qh-load", "forged"},
           {"content-type", "text/plain"}},
          "ten curtains"};
}

TEST_CASE("A call is parsed from its request") {
  const auto parsed = ParseCallRequest(FakeExchange(GoodRequest()));
  REQUIRE(std::holds_alternative<CallRequest>(parsed));
  const auto& call = std::get<CallRequest>(parsed);
  CHECK(call.service == "pesanan");
  CHECK(call.target == "/orders?rush=1");
  CHECK(call.time_left == std::chrono::milliseconds(250));

  SECTION("hop-by-hop fields and x-qh fields are not forwarded") {
    REQUIRE(call.headers.size() == 1);
    CHECK(call.headers.front().name == "content-type");
  }
  SECTION("a call without a path after the service goes to the root of the service") {
    for (const char* path : {"/svc/pesanan", "/svc/pesanan/", "/svc/pesanan?x=1"}) {
      http::HttpRequest request = GoodRequest();
      request.path = path;
      CAPTURE(path);
      const auto other = ParseCallRequest(FakeExchange(request));
      CHECK(std::get<CallRequest>(other).service == "pesanan");
      CHECK(std::get<CallRequest>(other).target.front() == '/');
    }
  }
  SECTION("different bodies or targets give different fingerprints") {
    std::set<std::uint64_t> fingerprints{call.fingerprint};
    http::HttpRequest other = GoodRequest();
    other.body = "nine curtains";
    fingerprints.insert(std::get<CallRequest>(ParseCallRequest(FakeExchange(other))).fingerprint);
    other = GoodRequest();
    other.path = "/svc/pesanan/orders?rush=2";
    fingerprints.insert(std::get<CallRequest>(ParseCallRequest(FakeExchange(other))).fingerprint);
    CHECK(fingerprints.size() == 3);
  }
}

TEST_CASE("Bad input from callers is refused with a stable error code") {
  struct Case {
    const char* name;
    http::HttpHeader header;
    bool ambiguous;
    CallErrorCode expected;
  };
  const std::vector<Case> cases{
      {"ambiguous framing", {"x-a", "1"}, true, CallErrorCode::kAmbiguousFraming},
      {"header fields too large",
       {"x-a", std::string(20000, 'a')},
       false,
       CallErrorCode::kHeadersTooLarge},
      {"duplicate customer", {"x-qh-customer", "x"}, false, CallErrorCode::kMalformedRequest},
      {"duplicate key", {"idempotency-key", "x"}, false, CallErrorCode::kMalformedRequest},
      {"invalid attempt", {"x-qh-attempt", "-1"}, false, CallErrorCode::kMalformedRequest},
      {"nesting too deep", {"x-qh-depth", "15"}, false, CallErrorCode::kMalformedRequest},
      {"depth is not a number", {"x-qh-depth", "3x"}, false, CallErrorCode::kMalformedRequest},
  };
  for (const Case& row : cases) {
    CAPTURE(row.name);
    http::HttpRequest request = GoodRequest();
    request.headers.push_back(row.header);
    const auto parsed = ParseCallRequest(FakeExchange(request, row.ambiguous));
    REQUIRE(std::holds_alternative<CallError>(parsed));
    CHECK(std::get<CallError>(parsed).code == row.expected);
  }
  SECTION("a call without a customer") {
    http::HttpRequest request = GoodRequest();
    request.headers.erase(request.headers.begin() + 1);
    CHECK(std::get<CallError>(ParseCallRequest(FakeExchange(request))).code ==
          CallErrorCode::kMissingCustomer);
  }
}

TEST_CASE("No HTTP status is used for both outcomes \"not run\" and \"unknown\"") {
  std::set<int> not_run;
  std::set<int> unknown;
  std::set<std::string> names;
  for (int i = 0; i <= static_cast<int>(CallErrorCode::kKeyHolderUnreachable); ++i) {
    const auto code = static_cast<CallErrorCode>(i);
    CAPTURE(i, ToString(code));
    (OutcomeOf(code) == Outcome::kNotRun ? not_run : unknown).insert(StatusOf(code));
    names.insert(ToString(code));
    const http::HttpResponse response = ToResponse({code, "m\xff", {}}, "id");
    const auto body = nlohmann::json::parse(response.body.Bytes());
    CHECK(body["outcome"] == *http::FindHeader(response.headers, "x-qh-outcome"));
    CHECK(body["code"] == ToString(code));
  }
  CHECK(names.size() == static_cast<std::size_t>(CallErrorCode::kKeyHolderUnreachable) + 1);
  for (const int status : unknown) {
    CHECK(not_run.count(status) == 0);
  }
  CHECK(unknown == std::set<int>{502, 504});
}

}  // namespace
}  // namespace qh::entry
