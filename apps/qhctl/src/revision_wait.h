#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "operator_client.h"

namespace qh::ctl {

/** Result of waiting until a contract revision is in force. */
struct RevisionWait {
  /** Number of live VMs whose qh-entry reports the revision or a newer one. */
  std::size_t reached = 0;
  /** Names of the other live VMs, each with the reason. */
  std::vector<std::string> lagging;
  /** Error that prevented the list of VMs from being read; empty if there was none. */
  std::string failure;

  bool IsComplete() const { return failure.empty() && lagging.empty(); }
};

/**
 * Waits until `revision` is in force at the qh-entry of each VM with the state "live", for at most
 * 10 s. Reads the status of each VM from the VM itself, because gossip says only that a VM knows
 * the revision, not that its qh-entry enforces it.
 */
RevisionWait WaitForRevision(OperatorClient& client, std::uint64_t revision);

/** Formats the result as text lines. */
std::string ToText(const RevisionWait& wait);

}  // namespace qh::ctl
