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
constexpr milliseconds kTargetOfDesign{5000};

/** Puts contracts whose body limits differ, and asks VMs which limit they apply. */
class ContractStory {
 public:
  ContractStory() : m_deployment(Options()) { m_deployment.StartAndServe("semarang"); }

  TestDeployment& Deployment() noexcept { return m_deployment; }

  /** Returns a contract that refuses the probe's body (`strict`) or lets it pass. */
  json Contract(bool strict) const {
    json contract = m_deployment.ContractFor("semarang");
    contract["limits"]["max_body_bytes"] = strict ? kBodyBytes / 2 : kBodyBytes * 2;
    return contract;
  }

  /** Returns the code with which `vm` refuses the probe; it runs nowhere. */
  std::string Probe(int vm) {
    return m_deployment
        .Send(m_deployment.Callers(vm),
              TestDeployment::MakeCall("semarang", "POST", "pesanan/orders",
                                       std::string(kBodyBytes, 'x')),
              milliseconds(3000))
        .code;
  }

  /** Waits until all of `vms` apply the contract and prints how long it took. */
  bool InForce(const char* what, bool strict, const std::vector<int>& vms = {0, 1, 2}) {
    const TimePoint start = m_deployment.Loop().Now();
    const bool in_force = m_deployment.Until([&] {
      return std::all_of(vms.begin(), vms.end(), [&](int vm) {
        return Probe(vm) == (strict ? "body_too_large" : "key_missing");
      });
    });
    const auto took =
        std::chrono::duration_cast<milliseconds>(m_deployment.Loop().Now() - start).count();
    std::cout << what << ": in force after " << took << " ms (target " << kTargetOfDesign.count()
              << " ms)" << std::endl;
    return in_force;
  }

  /** Sends the same operation until it has an answer that says what became of it. */
  CallAnswer PutUntilKnown(int vm, const json& contract, const std::string& operation) {
    CallAnswer answer;
    m_deployment.Until([&] {
      answer = m_deployment.PutContract(vm, contract, operation);
      return answer.status == 200 || answer.status == 409 || answer.status == 422;
    });
    return answer;
  }

  /** Returns the version of the contract that the platform holds. */
  int Version() {
    const CallAnswer answer = m_deployment.PutContract(0, Contract(true), "never-accepted", 999999);
    return answer.status == 409 ? json::parse(answer.body).at("version").get<int>() : -1;
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

TEST_CASE("An accepted contract is in force at every VM and never reverts") {
  ContractStory story;
  TestDeployment& deployment = story.Deployment();
  RevisionWatch watch(deployment, kVms, "semarang", "katalog");

  // Guards against lost updates: two operators who both saw the same version.
  const int version = story.Version();
  std::vector<CallAnswer> answers;
  for (const int vm : {0, 1}) {
    deployment.PutContractLater(vm, story.Contract(true), "race-" + std::to_string(vm), version,
                                [&](CallAnswer answer) { answers.push_back(std::move(answer)); });
  }
  REQUIRE(deployment.Until([&] { return answers.size() == 2; }));
  if (answers[0].status != 200) {
    std::swap(answers[0], answers[1]);
  }
  CHECK(answers[0].status == 200);
  CHECK(answers[1].status == 409);
  const json conflict = json::parse(answers[1].body);
  CHECK(conflict["code"] == "version_conflict");
  CHECK(conflict["version"] == version + 1);
  CHECK(story.InForce("two operators at once", true));

  // Guards against changes that are lost, doubled or half known when the platform misbehaves.
  struct Case {
    const char* name;
    json faults;
    /** Whether the faults end before the operator asks again. */
    bool ends;
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
    const int before = story.Version();
    deployment.SetPlatformFaults(row.faults);
    const CallAnswer during = deployment.PutContract(1, story.Contract(strict), operation);
    CAPTURE(during.status, during.body);
    CHECK((during.status == 200 || during.status == 503));
    if (row.ends) {
      deployment.SetPlatformFaults({{"down", false}, {"silent", false}, {"lose_answers", 0}});
    }
    const CallAnswer known = story.PutUntilKnown(2, story.Contract(strict), operation);
    REQUIRE(known.status == 200);
    REQUIRE(story.InForce(row.name, strict));
    deployment.SetPlatformFaults({{"delay_ms", 0}, {"lose_answers", 0}});
    const CallAnswer again = story.PutUntilKnown(0, story.Contract(strict), operation);
    CHECK(again.body == known.body);
    CHECK(story.Version() == before + 1);
  }

  CAPTURE(watch.StepsBack());
  CHECK(watch.StepsBack().empty());
  CHECK(watch.Answers() > 0);
}

TEST_CASE("A VM that missed a change does not serve under the old contract") {
  ContractStory story;
  TestDeployment& deployment = story.Deployment();
  RevisionWatch watch(deployment, kVms, "semarang", "katalog");

  // The old contract lets the probe's body pass; a VM that answers key_missing applies it.
  REQUIRE(story.PutUntilKnown(0, story.Contract(false), "lenient").status == 200);
  REQUIRE(story.InForce("lenient contract", false));

  SECTION("qh-control is paused across the change") {
    deployment.Control(2).Signal(SIGSTOP);
    REQUIRE(story.PutUntilKnown(0, story.Contract(true), "strict").status == 200);
    CHECK(story.InForce("VM 2's control is paused, others", true, {0, 1}));
    CHECK(deployment.Until([&] { return story.Probe(2) == "contract_unconfirmed"; }));
    // Once it refuses, the old contract must not come back.
    for (int i = 0; i < 20; ++i) {
      deployment.RunFor(milliseconds(50));
      CHECK(story.Probe(2) == "contract_unconfirmed");
    }
    // The peer that resumes offers its older revision to the others.
    deployment.Control(2).Signal(SIGCONT);
    std::string code;
    REQUIRE(deployment.Until([&] {
      code = story.Probe(2);
      return code != "contract_unconfirmed";
    }));
    CHECK(code == "body_too_large");
    CHECK(story.InForce("control resumed", true));
  }
  SECTION("the whole VM is paused across the change, and the platform is down afterwards") {
    deployment.Control(2).Signal(SIGSTOP);
    deployment.Entry(2).Signal(SIGSTOP);
    REQUIRE(story.PutUntilKnown(0, story.Contract(true), "strict").status == 200);
    CHECK(story.InForce("VM 2 is paused, others", true, {0, 1}));
    deployment.RunFor(kTargetOfDesign);
    deployment.SetPlatformFaults({{"down", true}});
    deployment.Entry(2).Signal(SIGCONT);
    // Longer than the confirmation limit: what this VM knew does not count any more.
    const std::string first = story.Probe(2);
    CAPTURE(first);
    CHECK((first == "contract_unconfirmed" || first == "body_too_large"));
    deployment.Control(2).Signal(SIGCONT);
    CHECK(story.InForce("VM 2 resumed during an outage", true));
  }
  SECTION("the VM is killed and started again during an outage of the platform") {
    deployment.Control(2).Signal(SIGKILL);
    deployment.Entry(2).Signal(SIGKILL);
    REQUIRE(story.PutUntilKnown(0, story.Contract(true), "strict").status == 200);
    deployment.SetPlatformFaults({{"silent", true}});
    deployment.StartControl(2);
    deployment.StartEntry(2);
    std::string code;
    REQUIRE(deployment.Until([&] {
      code = story.Probe(2);
      return code == "body_too_large" || code == "key_missing";
    }));
    CHECK(code == "body_too_large");
    CHECK(story.InForce("VM 2 started during an outage", true));
    // The outage lasts longer than the confirmation limit: peers keep each other confirmed.
    deployment.RunFor(kTargetOfDesign);
    for (int vm = 0; vm < kVms; ++vm) {
      CAPTURE(vm);
      CHECK(story.Probe(vm) == "body_too_large");
    }
  }
  CAPTURE(watch.StepsBack());
  CHECK(watch.StepsBack().empty());
  CHECK(watch.Answers() > 0);
}

}  // namespace
}  // namespace qh::test
