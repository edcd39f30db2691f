#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "quetzalhinge/gateway/address_choice.h"

namespace qh::gateway {
namespace {

std::vector<membership::MemberRecord> Zone(const std::string& zone, std::size_t vms) {
  std::vector<membership::MemberRecord> records;
  for (std::size_t i = 0; i < vms; ++i) {
    membership::MemberRecord record;
    record.vm = zone + "-" + std::to_string(i);
    record.zone = zone;
    record.endpoints.calls = {zone, static_cast<std::uint16_t>(1 + i)};
    records.push_back(record);
  }
  return records;
}

std::size_t CountOf(const std::vector<IpEndpoint>& addresses, const std::string& zone) {
  return static_cast<std::size_t>(
      std::count_if(addresses.begin(), addresses.end(),
                    [&](const IpEndpoint& address) { return address.ip == zone; }));
}

TEST_CASE("Callers receive addresses of serving VMs") {
  RandomGenerator random(20261204);
  std::vector<membership::MemberRecord> serving = Zone("timur", 3);
  const auto others = Zone("barat", 2);
  serving.insert(serving.end(), others.begin(), others.end());

  SECTION("in their zone if it has enough VMs") {
    const auto chosen = ChooseAddresses(serving, "timur", random);
    CHECK(chosen.size() == 3);
    CHECK(CountOf(chosen, "timur") == 3);
  }
  SECTION("in all zones if their zone has at most one VM") {
    CHECK(ChooseAddresses(serving, "tengah", random).size() == 5);
    const auto one = Zone("tengah", 1);
    serving.insert(serving.end(), one.begin(), one.end());
    CHECK(ChooseAddresses(serving, "tengah", random).size() == 6);
  }
  SECTION("but none if no VM is serving") { CHECK(ChooseAddresses({}, "timur", random).empty()); }
}

// Guards against a fixed choice in a zone with more VMs than fit into a response. Responses in
// order of name would leave a third of the VMs idle and overload the others.
TEST_CASE("Responses for a zone with more VMs than fit into one cover all VMs evenly") {
  constexpr std::size_t kVms = 100;
  constexpr int kResponses = 1000;
  RandomGenerator random(20261204);
  const std::vector<membership::MemberRecord> serving = Zone("timur", kVms);
  std::map<IpEndpoint, int> named;
  for (int i = 0; i < kResponses; ++i) {
    const auto chosen = ChooseAddresses(serving, "timur", random);
    REQUIRE(chosen.size() == kMaxAddresses);
    for (const IpEndpoint& address : chosen) {
      ++named[address];
    }
  }
  REQUIRE(named.size() == kVms);
  const int expected = kResponses * static_cast<int>(kMaxAddresses) / static_cast<int>(kVms);
  for (const auto& [address, count] : named) {
    CHECK(count > expected * 0.8);
    CHECK(count < expected * 1.2);
  }
}

}  // namespace
}  // namespace qh::gateway
