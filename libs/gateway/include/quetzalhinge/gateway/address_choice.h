#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/membership/member_record.h"

namespace qh::gateway {

/** Maximum number of addresses in a response; callers do not use more. */
inline constexpr std::size_t kMaxAddresses = 64;

/**
 * Returns the addresses to which a caller may connect: the VMs of its zone, or the VMs of all zones
 * if its zone has too few. If there are more than kMaxAddresses candidates, returns a random sample
 * of them, so that every VM is returned to some callers.
 * @param serving the VMs that are live and whose heartbeats arrive
 * @param zone availability zone of the caller
 */
std::vector<IpEndpoint> ChooseAddresses(const std::vector<membership::MemberRecord>& serving,
                                        const std::string& zone, RandomGenerator& random);

}  // namespace qh::gateway
