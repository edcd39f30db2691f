#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "test_deployment.h"

namespace qh::test {
namespace {

// Guards against error responses whose status or code differs from the documented one, and against
// rejected requests that reach a worker.
TEST_CASE("A deployment serves calls and rejects invalid ones") {
  DeploymentOptions options;
  options.subnet = 50;
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");

  SECTION("valid calls get the worker's response; invalid ones get stable codes and do not run") {
    const CallResponse good = deployment.Send(
        deployment.Callers(1), TestDeployment::MakeCall("semarang", "GET", "katalog/price/7", ""));
    CHECK(good.status == 200);
    CHECK(good.outcome == "ran");
    const auto body = nlohmann::json::parse(good.body);
    CHECK(body["request_id"] == *http::FindHeader(good.headers, "x-qh-request-id"));

    struct Case {
      const char* name;
      http::HttpRequest request;
      int status;
      const char* code;
    };
    http::HttpRequest no_customer = TestDeployment::MakeCall("semarang", "GET", "katalog/a", "");
    no_customer.headers.clear();
    const std::vector<Case> cases{
        {"no customer", no_customer, 400, "missing_customer"},
        {"unknown customer", TestDeployment::MakeCall("nobody", "GET", "katalog/a", ""), 404,
         "unknown_customer"},
        {"unknown service", TestDeployment::MakeCall("semarang", "GET", "kasir/a", ""), 404,
         "unknown_service"},
        {"unknown path", {"GET", "/other", {}, ""}, 404, "unknown_path"},
        {"no key", TestDeployment::MakeCall("semarang", "POST", "pesanan/orders", "x"), 422,
         "key_missing"},
        {"forged key",
         TestDeployment::MakeCall("semarang", "POST", "pesanan/orders", "x",
                                  "vm-0.0123456789abcdef.1796378000.0123456789abcdef.a"),
         422, "key_malformed"},
        {"large body",
         TestDeployment::MakeCall("semarang", "POST", "pesanan/orders", std::string(70000, 'x')),
         413, "body_too_large"},
        {"too deep",
         {"GET", "/svc/katalog/a", {{"x-qh-customer", "semarang"}, {"x-qh-depth", "15"}}, ""},
         400,
         "malformed_request"},
    };
    const std::size_t executions = deployment.Executions().size();
    for (const Case& row : cases) {
      CAPTURE(row.name);
      const CallResponse response = deployment.Send(deployment.Callers(0), row.request);
      CHECK(response.status == row.status);
      CHECK(response.code == row.code);
      CHECK(response.outcome == "not-run");
    }
    CHECK(deployment.Executions().size() == executions);
  }
}

}  // namespace
}  // namespace qh::test
