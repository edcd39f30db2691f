#include <catch2/catch.hpp>
#include <string>

#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::vm_settings {
namespace {

const std::string kComplete =
    "[vm]\nname = jb-1\nzone = jawa-barat\nslot = 0\nvm_count = 15\n"
    "[addresses]\ncallers = 127.0.1.1:8000\nentry_admin = 127.0.1.1:8001\n"
    "operators = 127.0.1.1:8002\ngossip = 127.0.1.1:8003\ncontrol_rpc = 127.0.1.1:8004\n"
    "entry_rpc = 127.0.1.1:8005\n"
    "[platform]\nendpoint = 127.0.0.1:9000\n"
    "[keys]\ndeployment_key = 0123456789abcdef\noperator_token = 0123456789abcdef\n";

TEST_CASE("Entry VM settings are parsed with their defaults") {
  const auto result = ParseEntryVmSettings(settings::ParseIni("vm.ini", kComplete));
  for (const auto& problem : result.problems) {
    UNSCOPED_INFO(ToString(problem));
  }
  REQUIRE(result.problems.empty());
  CHECK(result.settings.addresses.entry_rpc == IpEndpoint{"127.0.1.1", 8005});
  CHECK(result.settings.policy == RoutingPolicy::kLoadAware);
  CHECK(result.settings.confirmation_limit == std::chrono::seconds(4));
}

TEST_CASE("The limits of the processes are checked") {
  const auto parse = [](const std::string& limits) {
    return ParseEntryVmSettings(settings::ParseIni("vm.ini", kComplete + "[limits]\n" + limits));
  };
  CHECK(parse("").settings.process_limits.memory_mb == 260);
  CHECK(parse("").settings.process_limits.max_descriptors == 4100);
  CHECK(parse("memory_mb = 64\n").settings.process_limits.memory_mb == 64);
  CHECK(parse("max_descriptors = 400\n").settings.process_limits.max_descriptors == 400);
  CHECK(parse("memory_mb = 8\nmax_descriptors = 100\n").problems.size() == 2);
}

TEST_CASE("Five invalid settings are reported as five problems with line numbers") {
  std::string text = kComplete;
  text.replace(text.find("slot = 0"), 8, "slot = 15");
  text.replace(text.find("127.0.1.1:8000"), 14, "localhost:8000");
  text +=
      "[routing]\npolicy = fastest\n[callers]\naddress_tll = 5 s\n"
      "[keys_at_most_once]\nretention = 60 s\n";
  const auto result = ParseEntryVmSettings(settings::ParseIni("vm.ini", text));
  REQUIRE(result.problems.size() == 5);
  for (const auto& problem : result.problems) {
    CAPTURE(ToString(problem));
    CHECK(problem.line > 0);
  }
  CHECK(ToString(result.problems[3]).find("address_ttl") != std::string::npos);
}

}  // namespace
}  // namespace qh::vm_settings
