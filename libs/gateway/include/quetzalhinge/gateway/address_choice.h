#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/membership/member_record.h"

namespace qh::gateway {

/** Most addresses in an answer; callers use no more. */
inline constexpr std::size_t kMaxAddresses = 64;

/**
 * Returns where a caller may connect: the VMs of its zone, or those of all zones where its zone has
 * too few. Of more than kMaxAddresses a random sample is returned, so that no VM is left out for
 * good.
 * @param serving the VMs that are live and heard from
 */
std::vector<IpEndpoint> ChooseAddresses(const std::vector<membership::MemberRecord>& serving,
                                        const std::string& zone, RandomGenerator& random);

}  // namespace qh::gateway
