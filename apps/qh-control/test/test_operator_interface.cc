#include <signal.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control_vm.h"
#include "platform_fake.h"

namespace qh::control {
namespace {

using nlohmann::json;

/** One qh-control process and a fake platform. */
struct OneVm {
  net::EventLoop loop;
  PlatformFake platform{loop};
  ControlVm vm{loop, platform.Endpoint(), 1};
};

TEST_CASE("An operator changes contracts through a qh-control process") {
  OneVm one;
  one.vm.Start();

  SECTION("without the token, only the metrics can be read") {
    one.vm.token = "operator-token-of-others";
    CHECK(one.vm.Call("GET", "/v1/contracts").status == 401);
    CHECK(one.vm.Put("semarang", "op-1").status == 401);
    CHECK(one.platform.transactions_applied == 0);
    CHECK(one.vm.Metrics().find("qh_process_resident_bytes") != std::string::npos);
  }
  SECTION("an accepted contract can be read and is listed") {
    const OperatorResponse accepted = one.vm.Put("semarang", "op-1");
    REQUIRE(accepted.status == 200);
    CHECK(accepted.body == json{{"accepted", true}, {"revision", 1}, {"version", 1}});
    CHECK(one.vm.Put("bandung", "op-2").body.at("revision") == 2);
    CHECK(one.vm.Call("GET", "/v1/contracts/semarang").body.at("operation_id") == "op-1");
    CHECK(one.vm.Call("GET", "/v1/contracts").body.at("contracts").size() == 2);
    CHECK(one.vm.Call("GET", "/v1/status").body.at("revision") == 2);

    SECTION("a resent operation gets the same response and writes nothing") {
      one.vm.Put("semarang", "op-3", 200);
      CHECK(one.vm.Put("semarang", "op-1").body == accepted.body);
      CHECK(one.platform.transactions_applied == 3);
      CHECK(one.vm.Put("semarang", "op-1", 300).body.at("code") == "operation_reused");
    }
    SECTION(
        "an expected version that is not current gives a conflict with the version and author") {
      const OperatorResponse conflict =
          one.vm.Put("semarang", "op-3", 200, {{"expect_version", 0}});
      CHECK(conflict.status == 409);
      CHECK(conflict.body.at("code") == "version_conflict");
      CHECK(conflict.body.at("version") == 1);
      CHECK(conflict.body.at("author") == "tests");
      CHECK(one.vm.Put("semarang", "op-4", 200, {{"expect_version", 1}}).status == 200);
    }
    SECTION("a removal is a change in the history, and later versions continue from it") {
      const json removal{{"operation", "op-3"}, {"author", "tests"}};
      CHECK(one.vm.Call("DELETE", "/v1/contracts/semarang", removal).body.at("version") == 2);
      CHECK(one.vm.Call("GET", "/v1/contracts/semarang").status == 404);
      CHECK(one.vm
                .Call("DELETE", "/v1/contracts/semarang",
                      {{"operation", "op-4"}, {"author", "tests"}})
                .status == 404);
      CHECK(one.vm.Put("semarang", "op-5", 100, {{"expect_version", 0}}).body.at("version") == 3);
      const json history = one.vm.Call("GET", "/v1/contracts/semarang/history").body;
      REQUIRE(history.at("changes").size() == 3);
      CHECK(history.at("changes")[1].at("contract").is_null());
    }
  }
  SECTION("a restarted process reads the contracts from the platform") {
    one.vm.Put("semarang", "op-1");
    one.vm.Signal(SIGTERM);
    CHECK(one.vm.WaitForExit() == 0);
    one.vm.Start();
    WaitUntil(one.loop, "the contracts are read",
              [&] { return one.vm.Call("GET", "/v1/contracts/semarang").status == 200; });
  }
}

/** An invalid request and the expected error response. */
struct RefusedCase {
  const char* name;
  const char* method;
  const char* path;
  json body;
  int status;
  const char* code;
};

TEST_CASE("Invalid operator requests get an error status and code, and change nothing") {
  OneVm one;
  one.vm.Start();
  json no_service = PutBody("semarang", "op-1", 100);
  no_service["contract"]["services"] = json::array();
  const json good = PutBody("semarang", "op-1", 100);
  json bad_operation = good;
  bad_operation["operation"] = "op/1";
  json no_author = good;
  no_author.erase("author");
  const std::vector<RefusedCase> cases{
      {"contract without services", "PUT", "/v1/contracts/semarang", no_service, 422,
       "invalid_contract"},
      {"contract of another customer", "PUT", "/v1/contracts/bandung", good, 422,
       "invalid_contract"},
      {"operation with a slash", "PUT", "/v1/contracts/semarang", bad_operation, 400,
       "malformed_request"},
      {"no author", "PUT", "/v1/contracts/semarang", no_author, 400, "malformed_request"},
      {"no body", "PUT", "/v1/contracts/semarang", nullptr, 400, "malformed_request"},
      {"name with a slash", "PUT", "/v1/contracts/a/b", good, 404, "unknown_customer"},
      {"other method", "POST", "/v1/contracts/semarang", good, 405, "method_not_allowed"},
      {"other path", "GET", "/v1/other", nullptr, 404, "unknown_path"},
      {"drain of another VM", "POST", "/v1/drain", {{"vm", "vm-9"}}, 422, "wrong_vm"},
  };
  for (const RefusedCase& row : cases) {
    CAPTURE(row.name);
    const OperatorResponse response = one.vm.Call(row.method, row.path, row.body);
    CHECK(response.status == row.status);
    REQUIRE(response.body.is_object());
    CHECK(response.body.value("code", "") == row.code);
  }
  CHECK(one.platform.transactions_applied == 0);
}

/** A platform fault during a contract change, and the expected response. */
struct ChangeFaultCase {
  const char* name;
  PlatformFault fault;
  int status;
  /** Error code; empty if the change is accepted. */
  const char* code;
  /** Whether the change is written to the table, even if the response is an error. */
  bool written;
};

TEST_CASE("Responses to contract changes are correct under platform faults") {
  const std::vector<ChangeFaultCase> cases{
      {"outage", PlatformFault::kOutage, 503, "platform_unavailable", false},
      {"silent", PlatformFault::kSilent, 503, "platform_unavailable", false},
      {"malformed responses", PlatformFault::kMalformed, 503, "platform_unavailable", false},
      {"response to the write lost", PlatformFault::kResponsesLost, 200, "", true},
      {"silent after the write", PlatformFault::kSilentAfterWrite, 503, "acceptance_unknown", true},
  };
  for (const ChangeFaultCase& row : cases) {
    CAPTURE(row.name);
    OneVm one;
    one.vm.Start();
    one.platform.fault = row.fault;
    const OperatorResponse response = one.vm.Put("semarang", "op-1");
    CHECK(response.status == row.status);
    CHECK(response.body.value("code", "") == row.code);
    CHECK(one.platform.transactions_applied == (row.written ? 1 : 0));

    // A resent operation succeeds after the fault, and the change is written only once.
    one.platform.fault = PlatformFault::kNone;
    const OperatorResponse resent = one.vm.Put("semarang", "op-1");
    CHECK(resent.status == 200);
    CHECK(resent.body == json{{"accepted", true}, {"revision", 1}, {"version", 1}});
    CHECK(one.platform.transactions_applied == 1);
  }
}

TEST_CASE("Concurrent contract changes by two operators are serialized") {
  net::EventLoop loop;
  PlatformFake platform(loop);
  ControlVm first(loop, platform.Endpoint(), 1);
  ControlVm second(loop, platform.Endpoint(), 2);
  first.Start();
  second.Start();

  SECTION(
      "of two concurrent changes for the same customer, one is accepted and one gets a conflict") {
    std::vector<OperatorResponse> responses;
    const auto record_response = [&](OperatorResponse response) {
      responses.push_back(std::move(response));
    };
    const json expect{{"expect_version", 0}};
    json one = PutBody("semarang", "op-1", 100);
    json two = PutBody("semarang", "op-2", 200);
    one.update(expect);
    two.update(expect);
    first.StartCall("PUT", "/v1/contracts/semarang", one, record_response);
    second.StartCall("PUT", "/v1/contracts/semarang", two, record_response);
    WaitUntil(loop, "both requests are completed", [&] { return responses.size() == 2; });
    CHECK(responses[0].status + responses[1].status == 200 + 409);
    CHECK(platform.transactions_applied == 1);
    const json& conflict = responses[0].status == 409 ? responses[0].body : responses[1].body;
    CHECK(conflict.at("version") == 1);
  }
  SECTION("concurrent changes for different customers are all accepted, at distinct revisions") {
    constexpr int kEach = 10;
    int accepted = 0;
    for (int i = 0; i < kEach; ++i) {
      for (ControlVm* vm : {&first, &second}) {
        const std::string name = vm->Settings().name + "-" + std::to_string(i);
        vm->StartCall("PUT", "/v1/contracts/" + name, PutBody(name, "op-" + name, 100),
                      [&](const OperatorResponse& response) {
                        CHECK(response.status == 200);
                        ++accepted;
                      });
      }
    }
    WaitUntil(loop, "all requests are completed", [&] { return accepted == 2 * kEach; });
    CHECK(platform.Value("head").at("revision") == 2 * kEach);
    CHECK(platform.CountRows("log/") == 2 * kEach);
    CHECK(platform.CountRows("contracts/") == 2 * kEach);
  }
}

}  // namespace
}  // namespace qh::control
