#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/gateway/relay_selector.h"
#include "quetzalhinge/membership/member_table.h"

namespace qh::gateway {

/**
 * Chooses the VMs that this VM asks what they know of a table whose copy is not known to be
 * current: one of its own zone and one of the other zones, so that they do not depend on the same
 * reader of the store. Prefers VMs that are known to have a newer revision; among equals the choice
 * is random, so that a VM that is ahead of many others is not asked by all of them.
 * @param members the active members other than this VM
 * @param own_revision newest revision that this VM knows
 */
std::vector<RelayPeer> ChoosePeersToAsk(const std::vector<const membership::Member*>& members,
                                        const std::string& own_zone, std::uint64_t own_revision,
                                        RandomGenerator& random);

}  // namespace qh::gateway
