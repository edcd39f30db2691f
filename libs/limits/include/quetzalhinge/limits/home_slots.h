#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace qh::limits {

/** Fixed number of an entry VM from its settings, within [0, vm_count). */
using SlotNumber = std::uint32_t;

/**
 * Returns the home slots of a customer, highest rank first: the `home_slots` slots that rank
 * highest by rendezvous hashing of customer and slot, or all slots if `vm_count` is smaller. The
 * result depends only on the parameters, so all VMs compute the same.
 */
std::vector<SlotNumber> HomeSlotsOf(std::string_view customer, SlotNumber vm_count,
                                    SlotNumber home_slots);

}  // namespace qh::limits
