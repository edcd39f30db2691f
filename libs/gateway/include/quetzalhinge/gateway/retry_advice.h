#pragma once

#include <chrono>

#include "quetzalhinge/base/random_id.h"

namespace qh::gateway {

/** Why a request is refused that has not run. */
enum class RefusalCause {
  /** No worker can take it now. */
  kNoFreeSlots,
  /** A worker refused it though it had told of free slots just before. */
  kRefusedDespiteFreeSlots,
};

/**
 * Returns how long a refused caller is to wait. Callers that are refused together get different
 * times, so that they do not return together. Where there is room, the next request will probably
 * be served, and a short wait lets it meet its target; without room, slots have to become free.
 */
std::chrono::milliseconds ChooseRetryAfter(RefusalCause cause,
                                           std::chrono::milliseconds target_latency,
                                           RandomGenerator& random);

}  // namespace qh::gateway
