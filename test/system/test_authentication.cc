#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr int kVms = 3;
constexpr int kForeignVm = 2;
constexpr std::uint16_t kGossipPort = 8003;

void SendDatagram(const std::string& ip, std::uint16_t port, const std::string& data) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  REQUIRE(inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1);
  const int socket_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  REQUIRE(socket_fd >= 0);
  const ssize_t sent = sendto(socket_fd, data.data(), data.size(), 0,
                              reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  close(socket_fd);
  REQUIRE(sent == static_cast<ssize_t>(data.size()));
}

double CountRefusedGossip(TestDeployment& deployment, int vm) {
  double refused = 0;
  for (const char* reason : {"unauthenticated", "protocol"}) {
    refused += deployment.ControlMetric(
        vm, std::string("qh_control_gossip_refused_total{reason=\"") + reason + "\"}");
  }
  return refused;
}

TEST_CASE(
    "Messages without the deployment key and requests without the operator token are refused") {
  DeploymentOptions options;
  options.subnet = 73;
  options.vms = kVms;
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");

  // Guards against an operator API that accepts requests without the complete operator token.
  struct Case {
    const char* name;
    const char* method;
    const char* path;
    const char* token;
  };
  const std::vector<Case> cases{
      {"no token", "GET", "/v1/status", nullptr},
      {"wrong token", "GET", "/v1/contracts", "Bearer token-of-somebody-else"},
      {"token without its scheme", "GET", "/v1/status", "token-of-the-test-operators"},
      {"part of the token", "GET", "/v1/status", "Bearer token-of-the-test"},
      {"change without a token", "PUT", "/v1/contracts/semarang", nullptr},
      {"drain without a token", "POST", "/v1/drain", nullptr},
  };
  double refused = deployment.ControlMetric(0, "qh_control_operator_refused_total");
  for (const Case& row : cases) {
    CAPTURE(row.name);
    http::HttpRequest request{row.method, row.path, {}, "{}"};
    if (row.token != nullptr) {
      request.headers.push_back({"authorization", row.token});
    }
    CHECK(deployment.Send(deployment.Operators(0), request).status == 401);
    CHECK(deployment.ControlMetric(0, "qh_control_operator_refused_total") == ++refused);
  }

  // Guards against gossip that is accepted with a missing or truncated authentication code.
  const double dropped = CountRefusedGossip(deployment, 0);
  const std::vector<std::string> datagrams{"x", std::string(64, '\0'), std::string(1100, 'g')};
  for (const std::string& datagram : datagrams) {
    SendDatagram(deployment.Operators(0).ip, kGossipPort, datagram);
  }
  const auto expected = dropped + static_cast<double>(datagrams.size());
  CHECK(deployment.WaitUntil([&] { return CountRefusedGossip(deployment, 0) >= expected; }));

  // Guards against processes of another deployment that join this one: first a qh-entry that opens
  // a session with a qh-control of this deployment, then a qh-control that sends gossip to its
  // peers.
  deployment.Entry(kForeignVm).Signal(SIGKILL);
  deployment.SetDeploymentKey(kForeignVm, "key-of-another-deployment");
  const double sessions = deployment.ControlMetric(kForeignVm, "qh_control_sessions_refused_total");
  deployment.StartEntry(kForeignVm);
  CHECK(deployment.WaitUntil([&] {
    return deployment.ControlMetric(kForeignVm, "qh_control_sessions_refused_total") > sessions;
  }));
  const auto status = deployment.FetchStatus(kForeignVm);
  REQUIRE(status.is_object());
  CHECK(status["entry_attached"] == false);

  deployment.Control(kForeignVm).Signal(SIGKILL);
  deployment.StartControl(kForeignVm);
  const double before = CountRefusedGossip(deployment, 1);
  CHECK(deployment.WaitUntil([&] { return CountRefusedGossip(deployment, 1) >= before + 3; }));
  CHECK(deployment.WaitUntil([&] {
    const auto seen = deployment.FetchStatus(1);
    for (const auto& member : seen["members"]) {
      if (member["name"] == "vm-2") {
        return !member["heard"].get<bool>();
      }
    }
    return true;
  }));
  // The other VMs of the deployment still serve calls.
  for (const int vm : {0, 1}) {
    CAPTURE(vm);
    CHECK(deployment
              .Send(deployment.Callers(vm),
                    TestDeployment::MakeCall("semarang", "GET", "katalog/price/7", ""))
              .status == 200);
  }
}

}  // namespace
}  // namespace qh::test
