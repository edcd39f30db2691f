#include "quetzalhinge/limits/home_slots.h"

#include <algorithm>
#include <string>
#include <utility>

#include "quetzalhinge/base/hash.h"

namespace qh::limits {

std::vector<SlotNumber> HomeSlotsOf(std::string_view customer, SlotNumber vm_count,
                                    SlotNumber home_slots) {
  std::vector<std::pair<std::uint64_t, SlotNumber>> ranked;
  ranked.reserve(vm_count);
  for (SlotNumber slot = 0; slot < vm_count; ++slot) {
    ranked.emplace_back(HashParts({customer, std::to_string(slot)}), slot);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<SlotNumber> homes;
  for (std::size_t i = 0; i < std::min<std::size_t>(home_slots, ranked.size()); ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
}

}  // namespace qh::limits
