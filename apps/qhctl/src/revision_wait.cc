#include "revision_wait.h"

#include "quetzalhinge/base/time.h"

namespace qh::ctl {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWaitTimeout{10000};
constexpr std::chrono::milliseconds kPollInterval{100};

RevisionWait CheckOnce(OperatorClient& client, std::uint64_t revision) {
  RevisionWait wait;
  const Result<OperatorResponse> status = client.Get("/v1/status");
  if (!IsOk(status) || !ValueOf(status).body.is_object()) {
    wait.failure = IsOk(status) ? "no status" : ToString(ErrorOf(status));
    return wait;
  }
  std::vector<std::string> names;
  std::vector<IpEndpoint> peers;
  for (const json& member : ValueOf(status).body.at("members")) {
    if (member.at("state") == "live") {
      names.push_back(member.at("name"));
      peers.push_back(
          ParseIpEndpoint(member.at("operators").get<std::string>()).value_or(IpEndpoint{}));
    }
  }
  const auto responses = client.GetFromAll(peers, "/v1/status");
  for (std::size_t i = 0; i < responses.size(); ++i) {
    if (!IsOk(responses[i]) || !ValueOf(responses[i]).body.is_object()) {
      wait.lagging.push_back(names[i] + ": does not answer");
      continue;
    }
    const auto in_force = ValueOf(responses[i]).body.value("entry_revision", std::uint64_t{0});
    if (in_force >= revision) {
      ++wait.reached;
    } else {
      wait.lagging.push_back(names[i] + ": has revision " + std::to_string(in_force));
    }
  }
  // Without a live VM, for example while all VMs are starting, no VM enforces the change.
  if (names.empty()) {
    wait.lagging.push_back("no entry VM is live");
  }
  return wait;
}

}  // namespace

RevisionWait WaitForRevision(OperatorClient& client, std::uint64_t revision) {
  const TimePoint end = std::chrono::steady_clock::now() + kWaitTimeout;
  RevisionWait wait = CheckOnce(client, revision);
  while (!wait.IsComplete() && std::chrono::steady_clock::now() < end) {
    client.Sleep(kPollInterval);
    wait = CheckOnce(client, revision);
  }
  return wait;
}

std::string ToText(const RevisionWait& wait) {
  if (!wait.failure.empty()) {
    return "the VMs cannot be listed: " + wait.failure + "\n";
  }
  std::string text = "in force at " + std::to_string(wait.reached) + " live VMs\n";
  for (const std::string& vm : wait.lagging) {
    text += "lagging: " + vm + "\n";
  }
  return text;
}

}  // namespace qh::ctl
