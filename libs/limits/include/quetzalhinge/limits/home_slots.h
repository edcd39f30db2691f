#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace qh::limits {

/** Fixed number of an entry VM, 0 to vm_count - 1, from its settings. */
using SlotNumber = std::uint32_t;

/**
 * Returns the home slots of a customer: the `home_slots` numbers below `vm_count` that rank highest
 * by rendezvous hashing of customer and slot, highest first; all of them if there are fewer.
 * Every VM gets the same answer, because it depends on nothing else.
 */
std::vector<SlotNumber> HomeSlotsOf(std::string_view customer, SlotNumber vm_count,
                                    SlotNumber home_slots);

}  // namespace qh::limits
