#pragma once

#include <vector>

#include "quetzalhinge/membership/notice.h"
#include "quetzalhinge/quarantine/crash_suspects.h"

namespace qh::gossip {

/** Returns the notices that tell other VMs of `findings`. */
std::vector<membership::Notice> ToNotices(const quarantine::CrashFindings& findings,
                                          UnixMicros now_us);

/**
 * Applies a notice about a fingerprint to `suspects`; other kinds are ignored. Returns the notices
 * that follow from it.
 */
std::vector<membership::Notice> ApplyCrashNotice(quarantine::CrashSuspects& suspects,
                                                 const membership::Notice& notice, TimePoint now,
                                                 UnixMicros now_us);

}  // namespace qh::gossip
