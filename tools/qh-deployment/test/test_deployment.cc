#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "../src/deployment_files.h"
#include "quetzalhinge/contract/contract_ini.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::deployment {
namespace {

struct ExpectedDeployment {
  const char* file;
  std::size_t zones;
  std::size_t workers;
};

TEST_CASE("Both example deployments have the expected sizes and generate valid files") {
  const ExpectedDeployment expected =
      GENERATE(ExpectedDeployment{"guild.ini", 3, 28}, ExpectedDeployment{"cuan-breac.ini", 4, 33});
  const DeploymentResult result =
      ParseDeployment(settings::ReadIniFile(std::string(QH_EXAMPLES_DIR) + "/" + expected.file));
  for (const auto& problem : result.problems) {
    UNSCOPED_INFO(ToString(problem));
  }
  REQUIRE(result.problems.empty());
  CHECK(result.deployment.zones.size() == expected.zones);
  CHECK(EntryVmsOf(result.deployment).size() == 15);
  CHECK(WorkersOf(result.deployment).size() == expected.workers);

  SECTION("all entry VMs and workers have different addresses") {
    std::set<std::string> addresses;
    for (const EntryVm& vm : EntryVmsOf(result.deployment)) {
      addresses.insert(vm.ip);
    }
    for (const Worker& worker : WorkersOf(result.deployment)) {
      addresses.insert(ToString(worker.listen));
    }
    CHECK(addresses.size() == 15 + expected.workers);
  }
  SECTION("the settings of all entry VMs and all contracts are valid") {
    int checked = 0;
    for (const GeneratedFile& file : GenerateFiles(result.deployment)) {
      CAPTURE(file.path, file.text);
      if (file.path.starts_with("vm-")) {
        const auto vm = vm_settings::ParseEntryVmSettings(settings::ParseIni(file.path, file.text));
        CHECK(vm.problems.empty());
        CHECK(vm.settings.vm_count == 15);
        ++checked;
      } else if (file.path.starts_with("contracts/")) {
        CHECK(std::holds_alternative<contract::Contract>(
            contract::ParseContractIni(file.path, file.text)));
        ++checked;
      }
    }
    CHECK(checked == 17);
  }
}

TEST_CASE("An unknown service in a customer section is reported with its line number") {
  const DeploymentResult result = ParseDeployment(settings::ParseIni(
      "d.ini",
      "[deployment]\nname = d\nplatform = 127.0.0.1:1\nworker_control = 127.0.0.1:2\n"
      "deployment_key = 0123456789abcdef\noperator_token = 0123456789abcdef\n"
      "[zone a]\nprefix = a\nnetwork = 127.1.1\nentry_vms = 1\n[service s]\nworkers = 1\n"
      "[customer c]\nrequests_per_second = 1\nburst = 1\nrequests_in_progress = 1\n"
      "services = s, t\n"));
  REQUIRE(result.problems.size() == 1);
  CHECK(result.problems.front().line == 17);
}

}  // namespace
}  // namespace qh::deployment
