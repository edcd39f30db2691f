#pragma once

#include <vector>

#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::gossip {

/** Returns the notices that report `findings` to other VMs. */
std::vector<membership::Notice> ToNotices(const quarantine::CrashFindings& findings,
                                          UnixMicros now_us);

/**
 * Applies a notice about a fingerprint to `suspects`; notices of other kinds are ignored. Returns
 * further notices to post, for instance if the fingerprint is now quarantined.
 */
std::vector<membership::Notice> ApplyCrashNotice(quarantine::CrashSuspects& suspects,
                                                 const membership::Notice& notice, TimePoint now,
                                                 UnixMicros now_us);

}  // namespace qh::gossip
