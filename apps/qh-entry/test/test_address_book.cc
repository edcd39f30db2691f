#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "address_book.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::entry {
namespace {

std::vector<EntryVm> FifteenVms() {
  std::vector<EntryVm> vms;
  for (std::uint32_t slot = 0; slot < 15; ++slot) {
    const std::string zone = "zone-" + std::to_string(slot % 3);
    vms.push_back({"vm-" + std::to_string(slot),
                   zone,
                   slot,
                   true,
                   {"127.0.1." + std::to_string(slot + 1), 8000},
                   {"127.0.1.1", 8005},
                   slot + 1});
  }
  return vms;
}

TEST_CASE("Addresses are returned in the order in which a caller should try them") {
  const auto authenticator =
      TakeValue(auth::MessageAuthenticator::Create({"a deployment key for tests"}));
  const idempotency::RequestKeyAuthority authority(authenticator);
  AddressBook book({"zone-0", 15, 12}, authority);
  std::vector<EntryVm> vms = FifteenVms();
  const UnixMicros now = 1'796'378'000'000'000;

  SECTION("VMs in the preferred zone come first") {
    book.Update(vms);
    const auto addresses = book.AddressesFor({"katalog", "semarang", "", "10.0.0.1"}, now);
    REQUIRE(addresses.size() == AddressBook::kMaxAddresses);
    for (std::size_t i = 0; i < 5; ++i) {
      CHECK(addresses[i].zone == "zone-0");
    }
    CHECK(book.AddressesFor({"katalog", "semarang", "zone-2", "10.0.0.1"}, now).front().zone ==
          "zone-2");
  }
  SECTION("a VM that accepts no calls or whose incarnation is unknown is left out") {
    for (EntryVm& vm : vms) {
      vm.accepts_calls = vm.slot == 3;
    }
    vms[4].accepts_calls = true;
    vms[4].entry_incarnation = 0;
    book.Update(vms);
    const auto addresses = book.AddressesFor({"katalog", "semarang", "", "10.0.0.1"}, now);
    REQUIRE(addresses.size() == 1);
    CHECK(addresses.front().vm == "vm-3");
  }
  SECTION(
      "a caller keeps its first VM, and the callers of one customer use all its home VMs in the "
      "zone") {
    const auto homes = limits::HomeSlotsOf("semarang", 15, 12);
    book.Update(vms);
    std::set<std::string> first;
    for (int i = 0; i < 100; ++i) {
      const AddressQuery query{"katalog", "semarang", "", "10.0.0." + std::to_string(i)};
      const std::string vm = book.AddressesFor(query, now).front().vm;
      CHECK(book.AddressesFor(query, now + 5'000'000).front().vm == vm);
      first.insert(vm);
    }
    std::set<std::string> expected;
    for (const limits::SlotNumber slot : homes) {
      if (slot % 3 == 0) {
        expected.insert("vm-" + std::to_string(slot));
      }
    }
    CHECK(first == expected);
  }
  SECTION("keys with the returned prefix are accepted and identify the VM at the address") {
    book.Update(vms);
    const auto address = book.AddressesFor({"pesanan", "semarang", "", "10.0.0.1"}, now).front();
    const auto key = authority.Accept(address.key_prefix + ".order-1");
    REQUIRE(IsOk(key));
    CHECK(ValueOf(key).holder.vm == address.vm);
    CHECK_FALSE(IsOk(authority.Accept(address.key_prefix + "x.order-1")));
  }
}

}  // namespace
}  // namespace qh::entry
