#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <optional>

#include "revision_watch.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kVms = 3;
constexpr int kBodyBytes = 30000;
constexpr milliseconds kPropagationTarget{5000};

/** A deployment, contracts with a low or a high body limit, and probes for the limit in force. */
class ContractFixture {
 public:
  ContractFixture() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  /** Returns a contract whose body limit is below (`strict`) or above the body of the probe. */
  json Contract(bool strict) const {
    json contract = m_deployment.ContractFor("semarang");
    contract["limits"]["max_body_bytes"] = strict ? kBodyBytes / 2 : kBodyBytes * 2;
    return contract;
  }

  /**
   * Sends a probe to `vm` and returns its error code. The probe never runs, because it has no key:
   * the code is "body_too_large" under the strict contract and "key_missing" under the other.
   */
  std::string Probe(int vm) {
    return m_deployment
        .Send(m_deployment.Callers(vm),
              TestDeployment::MakeCall("semarang", "POST", "pesanan/orders",
                                       std::string(kBodyBytes, 'x')),
              milliseconds(3000))
        .code;
  }

  /** Waits until all of `vms` apply the contract; prints the time that this took. */
  bool WaitUntilInForce(const char* what, bool strict, const std::vector<int>& vms = {0, 1, 2}) {
    const TimePoint start = m_deployment.Loop().Now();
    const bool in_force = m_deployment.WaitUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](int vm) {
        return Probe(vm) == (strict ? "body_too_large" : "key_missing");
      });
    });
    const auto took =
        std::chrono::duration_cast<milliseconds>(m_deployment.Loop().Now() - start).count();
    std::cout << what << ": in force after " << took << " ms (target " << kPropagationTarget.count()
              << " ms)" << std::endl;
    return in_force;
  }

  /** Repeats the same operation until the response says whether it was accepted. */
  CallResponse PutUntilResolved(int vm, const json& contract, const std::string& operation) {
    CallResponse response;
    m_deployment.WaitUntil([&] {
      response = m_deployment.PutContract(vm, contract, operation);
      return response.status == 200 || response.status == 409 || response.status == 422;
    });
    return response;
  }

  /** Returns the contract version stored by the platform, taken from a version conflict. */
  int CurrentVersion() {
    const CallResponse response =
        m_deployment.PutContract(0, Contract(true), "never-accepted", 999999);
    return response.status == 409 ? json::parse(response.body).at("version").get<int>() : -1;
  }

 private:
  static DeploymentOptions Options() {
    DeploymentOptions options;
    options.subnet = 70;
    options.vms = kVms;
    return options;
  }

  TestDeployment m_deployment;
};

// Guards against accepted contract changes that are lost, applied twice or not applied by every VM,
// and against VMs that revert to an older revision.
TEST_CASE("An accepted contract is in force at every VM and is not reverted") {
  ContractFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  RevisionWatch watch(deployment, kVms, "semarang", "katalog");

  // Guards against lost updates: two operators change the same version concurrently.
  const int version = fixture.CurrentVersion();
  std::vector<CallResponse> responses;
  for (const int vm : {0, 1}) {
    deployment.PutContractAsync(
        vm, fixture.Contract(true), "race-" + std::to_string(vm), version,
        [&](CallResponse response) { responses.push_back(std::move(response)); });
  }
  REQUIRE(deployment.WaitUntil([&] { return responses.size() == 2; }));
  if (responses[0].status != 200) {
    std::swap(responses[0], responses[1]);
  }
  CHECK(responses[0].status == 200);
  CHECK(responses[1].status == 409);
  const json conflict = json::parse(responses[1].body);
  CHECK(conflict["code"] == "version_conflict");
  CHECK(conflict["version"] == version + 1);
  CHECK(fixture.WaitUntilInForce("two operators at once", true));

  // Guards against changes that are lost, applied twice or known to some VMs only, because the
  // platform is slow, loses responses or is unreachable.
  struct Case {
    const char* name;
    json faults;
    /** Whether the faults are cleared before the operator repeats the operation. */
    bool clear_before_retry;
  };
  const std::vector<Case> cases{
      {"platform slow", {{"delay_ms", 300}}, false},
      {"platform loses one answer after the write", {{"lose_answers", 1}}, false},
      {"platform loses all answers after the write", {{"lose_answers", -1}}, true},
      {"platform down", {{"down", true}}, true},
      {"platform silent", {{"silent", true}}, true},
  };
  bool strict = true;
  for (const Case& row : cases) {
    CAPTURE(row.name);
    std::string operation(row.name);
    std::replace(operation.begin(), operation.end(), ' ', '-');
    strict = !strict;
    const int before = fixture.CurrentVersion();
    deployment.SetPlatformFaults(row.faults);
    const CallResponse during = deployment.PutContract(1, fixture.Contract(strict), operation);
    CAPTURE(during.status, during.body);
    CHECK((during.status == 200 || during.status == 503));
    if (row.clear_before_retry) {
      deployment.SetPlatformFaults({{"down", false}, {"silent", false}, {"lose_answers", 0}});
    }
    const CallResponse resolved = fixture.PutUntilResolved(2, fixture.Contract(strict), operation);
    REQUIRE(resolved.status == 200);
    REQUIRE(fixture.WaitUntilInForce(row.name, strict));
    deployment.SetPlatformFaults({{"delay_ms", 0}, {"lose_answers", 0}});
    const CallResponse repeated = fixture.PutUntilResolved(0, fixture.Contract(strict), operation);
    CHECK(repeated.body == resolved.body);
    CHECK(fixture.CurrentVersion() == before + 1);
  }

  CAPTURE(watch.Regressions());
  CHECK(watch.Regressions().empty());
  CHECK(watch.ResponseCount() > 0);
}

// Guards against a VM that missed a change while its processes were paused or down, and then serves
// under the old contract or passes its old revision on to its peers.
TEST_CASE("A VM that missed a change does not serve under the old contract") {
  ContractFixture fixture;
  TestDeployment& deployment = fixture.Deployment();
  RevisionWatch watch(deployment, kVms, "semarang", "katalog");

  // A VM that answers the probe with key_missing applies this old contract.
  REQUIRE(fixture.PutUntilResolved(0, fixture.Contract(false), "lenient").status == 200);
  REQUIRE(fixture.WaitUntilInForce("lenient contract", false));

  SECTION("qh-control is paused across the change") {
    deployment.Control(2).Signal(SIGSTOP);
    REQUIRE(fixture.PutUntilResolved(0, fixture.Contract(true), "strict").status == 200);
    CHECK(fixture.WaitUntilInForce("VM 2's control is paused, others", true, {0, 1}));
    CHECK(deployment.WaitUntil([&] { return fixture.Probe(2) == "contract_unconfirmed"; }));
    // Once the VM refuses calls, it must not serve under the old contract again.
    for (int i = 0; i < 20; ++i) {
      deployment.RunFor(milliseconds(50));
      CHECK(fixture.Probe(2) == "contract_unconfirmed");
    }
    // After it resumes, VM 2 sends its older revision to its peers.
    deployment.Control(2).Signal(SIGCONT);
    std::string code;
    REQUIRE(deployment.WaitUntil([&] {
      code = fixture.Probe(2);
      return code != "contract_unconfirmed";
    }));
    CHECK(code == "body_too_large");
    CHECK(fixture.WaitUntilInForce("control resumed", true));
  }
  SECTION(
      "both processes of a VM are paused across the change, and the platform is down after it") {
    deployment.Control(2).Signal(SIGSTOP);
    deployment.Entry(2).Signal(SIGSTOP);
    REQUIRE(fixture.PutUntilResolved(0, fixture.Contract(true), "strict").status == 200);
    CHECK(fixture.WaitUntilInForce("VM 2 is paused, others", true, {0, 1}));
    deployment.RunFor(kPropagationTarget);
    deployment.SetPlatformFaults({{"down", true}});
    deployment.Entry(2).Signal(SIGCONT);
    // The pause exceeds the confirmation limit, so the VM may not use the contract it has stored.
    const std::string first = fixture.Probe(2);
    CAPTURE(first);
    CHECK((first == "contract_unconfirmed" || first == "body_too_large"));
    deployment.Control(2).Signal(SIGCONT);
    CHECK(fixture.WaitUntilInForce("VM 2 resumed during an outage", true));
  }
  SECTION("the VM is killed and restarted during an outage of the platform") {
    deployment.Control(2).Signal(SIGKILL);
    deployment.Entry(2).Signal(SIGKILL);
    REQUIRE(fixture.PutUntilResolved(0, fixture.Contract(true), "strict").status == 200);
    deployment.SetPlatformFaults({{"silent", true}});
    deployment.StartControl(2);
    deployment.StartEntry(2);
    std::string code;
    REQUIRE(deployment.WaitUntil([&] {
      code = fixture.Probe(2);
      return code == "body_too_large" || code == "key_missing";
    }));
    CHECK(code == "body_too_large");
    CHECK(fixture.WaitUntilInForce("VM 2 started during an outage", true));
    // The outage exceeds the confirmation limit; meanwhile VMs confirm their contracts with peers.
    deployment.RunFor(kPropagationTarget);
    for (int vm = 0; vm < kVms; ++vm) {
      CAPTURE(vm);
      CHECK(fixture.Probe(vm) == "body_too_large");
    }
  }
  CAPTURE(watch.Regressions());
  CHECK(watch.Regressions().empty());
  CHECK(watch.ResponseCount() > 0);
}

}  // namespace
}  // namespace qh::test
