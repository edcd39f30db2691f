#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "bad_inputs.h"
#include "quetzalhinge/testing/raw_socket.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
constexpr milliseconds kReadTimeout{10000};

bool IsOtherCallerServed(TestDeployment& deployment) {
  const CallResponse response =
      deployment.Send(deployment.Callers(0),
                      TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""), kReadTimeout);
  return response.outcome == "ran" && response.status == 200;
}

int CountStarted(TestDeployment& deployment, const std::string& service) {
  int started = 0;
  for (const nlohmann::json& worker : deployment.WorkerStates()) {
    started += worker["service"] == service ? worker["started"].get<int>() : 0;
  }
  return started;
}

// Guards against malformed, oversized or slow input that is forwarded to a worker, that crashes
// qh-entry or blocks other callers, or that gets no error response.
TEST_CASE("Bad input gets an error response, reaches no worker and does not affect other callers") {
  DeploymentOptions options;
  options.subnet = 65;
  options.vms = 1;
  options.services = {{"katalog", 1, 3}, {"gudang", 1, 3}};
  options.extra_settings = "[callers]\nrequest_timeout = 500ms\n";
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);
  const IpEndpoint callers = deployment.Callers(0);

  for (const BadInput& row : BadInputs()) {
    CAPTURE(row.name);
    const int socket = ConnectRaw(callers.ip, callers.port);
    WriteAll(socket, row.bytes);
    const std::string response = ReadUntilClosed(socket, kReadTimeout);
    close(socket);
    CAPTURE(response.substr(0, 200));
    // test_bad_input_codes checks the exact status and code.
    CHECK(response.starts_with("HTTP/1.1 4"));
    CHECK(IsOtherCallerServed(deployment));
  }

  // Callers that stop sending in the head or in the body.
  for (const std::string& partial_request :
       {std::string("POST /svc/gudang/or"), MakeRawCall("content-length: 100\r\n", "ten by")}) {
    CAPTURE(partial_request);
    std::vector<int> sockets;
    for (int i = 0; i < 50; ++i) {
      sockets.push_back(ConnectRaw(callers.ip, callers.port));
      WriteAll(sockets.back(), partial_request);
    }
    CHECK(IsOtherCallerServed(deployment));
    for (const int socket : sockets) {
      // The entry must close the connection; otherwise the read ends by its time-out.
      const auto start = std::chrono::steady_clock::now();
      ReadUntilClosed(socket, kReadTimeout);
      CHECK(std::chrono::steady_clock::now() - start < kReadTimeout);
      close(socket);
    }
    CHECK(IsOtherCallerServed(deployment));
  }
  CHECK(CountStarted(deployment, "gudang") == 0);
  CHECK(deployment.ProxyConnections("gudang") == 0);
  CHECK(deployment.Entry(0).IsRunning());
}

}  // namespace
}  // namespace qh::test
