#pragma once

#include <cstddef>

#include "quetzalhinge/http/memory_budget.h"
#include "quetzalhinge/settings/process_limits.h"

namespace qh::overload {

/** What the connections to one listening address may use together. */
struct ListenerCapacity {
  std::size_t max_connections = 0;
  /** Size of the kernel's buffer for bytes that a connection has received and not yet read. */
  std::size_t receive_buffer_bytes = 0;
};

/** What the clients of a process may use together, so that it stays within its ProcessLimits. */
struct ProcessCapacity {
  http::MemoryBudgetOptions messages;
  /** The address for callers. */
  ListenerCapacity callers;
  /** Each other address: small messages of the platform, operators and other VMs. */
  ListenerCapacity others;
};

/**
 * Divides the limits of a process. docs/CAPACITY.md has the parts. A process that may open fewer
 * descriptors (RLIMIT_NOFILE) than the limits say is given capacity for those.
 * @param other_bytes memory that the process may use for other things than connections and messages
 */
ProcessCapacity CapacityOf(const settings::ProcessLimits& limits, std::size_t other_bytes = 0);

}  // namespace qh::overload
