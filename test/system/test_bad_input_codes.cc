#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "bad_inputs.h"
#include "quetzalhinge/testing/raw_socket.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{10000};

// Guards against error responses without the documented code and outcome: from these a caller's
// program learns that the request did not run and can safely be sent again.
TEST_CASE("Bad input gets an error with a stable code and the outcome \"not-run\"") {
  DeploymentOptions options;
  options.subnet = 67;
  options.vms = 1;
  options.services = {{"katalog", 1, 3}, {"gudang", 1, 3}};
  TestDeployment deployment(options);
  deployment.StartAndServe("semarang");
  const IpEndpoint callers = deployment.Callers(0);
  for (const BadInput& row : BadInputs()) {
    CAPTURE(row.name);
    const int socket = ConnectRaw(callers.ip, callers.port);
    WriteAll(socket, row.bytes);
    const std::string response = ReadUntilClosed(socket, kReadTimeout);
    close(socket);
    const std::size_t head_end = response.find("\r\n\r\n");
    const std::string head = response.substr(0, head_end);
    CAPTURE(head);
    CHECK(head.starts_with("HTTP/1.1 " + std::to_string(row.status) + " "));
    CHECK(RawField(head, "x-qh-outcome") == "not-run");
    const std::string body = head_end == std::string::npos ? "" : response.substr(head_end + 4);
    const auto json = nlohmann::json::parse(body, nullptr, false);
    CHECK((json.is_object() && json.value("code", "") == row.code));
  }
}

}  // namespace
}  // namespace qh::test
