#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "bad_inputs.h"
#include "raw_socket.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
constexpr milliseconds kReadLimit{10000};

bool OthersAreServed(TestDeployment& deployment) {
  const CallAnswer answer =
      deployment.Send(deployment.Callers(0),
                      TestDeployment::MakeCall(kCustomer, "GET", "katalog/a", ""), kReadLimit);
  return answer.outcome == "ran" && answer.status == 200;
}

int StartedAt(TestDeployment& deployment, const std::string& service) {
  int started = 0;
  for (const nlohmann::json& worker : deployment.WorkerStates()) {
    started += worker["service"] == service ? worker["started"].get<int>() : 0;
  }
  return started;
}

// Guards against input that is passed on to a worker, that stops the entry or other callers, or
// that gets no clear answer.
TEST_CASE("Bad input gets a clear error, reaches no worker and disturbs no other caller") {
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
    const std::string answer = ReadUntilClosed(socket, kReadLimit);
    close(socket);
    CAPTURE(answer.substr(0, 200));
    // test_bad_input_codes checks which error it is.
    CHECK(answer.starts_with("HTTP/1.1 4"));
    CHECK(OthersAreServed(deployment));
  }

  // Callers that send slowly: part of a head, and part of a body.
  for (const std::string& part :
       {std::string("POST /svc/gudang/or"), Call("content-length: 100\r\n", "ten by")}) {
    CAPTURE(part);
    std::vector<int> sockets;
    for (int i = 0; i < 50; ++i) {
      sockets.push_back(ConnectRaw(callers.ip, callers.port));
      WriteAll(sockets.back(), part);
    }
    CHECK(OthersAreServed(deployment));
    for (const int socket : sockets) {
      // A connection that stays open would make this read end by its limit, not by a close.
      const auto start = std::chrono::steady_clock::now();
      ReadUntilClosed(socket, kReadLimit);
      CHECK(std::chrono::steady_clock::now() - start < kReadLimit);
      close(socket);
    }
    CHECK(OthersAreServed(deployment));
  }
  CHECK(StartedAt(deployment, "gudang") == 0);
  CHECK(deployment.ProxyConnections("gudang") == 0);
  CHECK(deployment.Entry(0).IsRunning());
}

}  // namespace
}  // namespace qh::test
