#include "address_book.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/limits/home_slots.h"

namespace qh::entry {
namespace {

/** A VM with its rank; lower ranks come first. */
struct RankedVm {
  std::tuple<bool, bool, std::uint64_t> rank;
  const EntryVm* vm;
};

}  // namespace

AddressBook::AddressBook(AddressBookOptions options,
                         const idempotency::RequestKeyAuthority& authority)
    : m_options(std::move(options)), m_authority(authority) {}

void AddressBook::Update(std::vector<EntryVm> vms) { m_vms = std::move(vms); }

std::vector<CallerAddress> AddressBook::AddressesFor(const AddressQuery& query,
                                                     UnixMicros now_us) const {
  const std::vector<limits::SlotNumber> homes =
      limits::HomeSlotsOf(query.customer, m_options.vm_count, m_options.home_slots);
  const std::string& zone = query.zone.empty() ? m_options.own_zone : query.zone;
  std::vector<RankedVm> ranked;
  for (const EntryVm& vm : m_vms) {
    if (vm.accepts_calls && vm.entry_incarnation != 0) {
      const bool is_home = std::find(homes.begin(), homes.end(), vm.slot) != homes.end();
      ranked.push_back(
          {{vm.zone != zone, !is_home, HashParts({query.customer, query.caller_ip, vm.name})},
           &vm});
    }
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedVm& a, const RankedVm& b) { return a.rank < b.rank; });
  std::vector<CallerAddress> addresses;
  for (const RankedVm& candidate : ranked) {
    if (addresses.size() == kMaxAddresses) {
      break;
    }
    const EntryVm& vm = *candidate.vm;
    addresses.push_back(
        {vm.callers, vm.zone, vm.name,
         m_authority.IssuePrefix(MakeKeyHolder(vm.name, vm.entry_incarnation), now_us)});
  }
  return addresses;
}

std::optional<EntryVm> AddressBook::Find(std::string_view name) const {
  for (const EntryVm& vm : m_vms) {
    if (vm.name == name) {
      return vm;
    }
  }
  return std::nullopt;
}

idempotency::KeyHolder MakeKeyHolder(const std::string& vm, std::uint64_t entry_incarnation) {
  return {vm, ToHex(entry_incarnation)};
}

}  // namespace qh::entry
