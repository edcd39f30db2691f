#pragma once

#include <chrono>

#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/** Why a request that has not run is refused. */
enum class RefusalCause {
  /** No worker can accept the request now, usually because all slots are in use. */
  kNoFreeSlots,
  /** A worker refused the request although it had just reported free slots. */
  kRefusedDespiteFreeSlots,
  /** All workers are at the limits that they state. */
  kWorkerLimits,
};

/**
 * Returns how long a refused caller should wait before it retries. The time is randomised, so that
 * callers that are refused together do not retry together. If workers have free slots, the next
 * request will probably be served, and a short wait lets it meet its target latency. Otherwise the
 * wait has to last until slots become free.
 */
std::chrono::milliseconds ChooseRetryAfter(RefusalCause cause,
                                           std::chrono::milliseconds target_latency,
                                           RandomGenerator& random);

/**
 * Returns the same for kWorkerLimits. The caller is told to return when this VM may send a request
 * again, or somewhat later, since others wait for that too.
 * @param until_next time until this VM may send a request
 */
std::chrono::milliseconds ChooseRetryAfterLimit(Duration until_next, RandomGenerator& random);

}  // namespace qh::gateway
