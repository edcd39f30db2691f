#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "operator_client.h"

namespace qh::ctl {

/** Result of waiting for a revision to be in force. */
struct RevisionWait {
  /** Live VMs that report the revision in force at their entry. */
  std::size_t reached = 0;
  /** Live VMs that do not, each with the reason. */
  std::vector<std::string> lagging;
  /** Why the VMs could not be listed; empty if they were. */
  std::string failure;

  bool IsComplete() const { return failure.empty() && lagging.empty(); }
};

/**
 * Waits until the entries of all VMs that the status calls live have `revision` in force, for 10 s
 * at most. Asks each VM itself: what others have heard of it says only that it knows the revision.
 */
RevisionWait WaitForRevision(OperatorClient& client, std::uint64_t revision);

/** Returns the result for people. */
std::string ToText(const RevisionWait& wait);

}  // namespace qh::ctl
