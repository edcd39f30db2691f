#include "quetzalhinge/gateway/retry_advice.h"

#include <algorithm>
#include <random>

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/**
 * Range of the wait if no worker has a free slot. The speeds of machines change every 500 ms, and
 * slots become free in the meantime.
 */
constexpr milliseconds kMinWaitForSlot{200};
constexpr milliseconds kMaxWaitForSlot{700};

/** Minimum wait if workers have free slots. A shorter one only adds load while the cause lasts. */
constexpr milliseconds kMinWait{10};
/**
 * Maximum wait as a fraction of the target latency if workers have free slots. A request still
 * meets the target latency after two such waits.
 */
constexpr double kMaxWaitFraction = 0.1;

}  // namespace

milliseconds ChooseRetryAfter(RefusalCause cause, milliseconds target_latency,
                              RandomGenerator& random) {
  milliseconds min_wait = kMinWaitForSlot;
  milliseconds max_wait = kMaxWaitForSlot;
  if (cause == RefusalCause::kRefusedDespiteFreeSlots) {
    const auto scaled = std::chrono::duration_cast<milliseconds>(target_latency * kMaxWaitFraction);
    min_wait = kMinWait;
    max_wait = std::clamp(scaled, kMinWait, kMaxWaitForSlot);
  }
  std::uniform_int_distribution<milliseconds::rep> wait(min_wait.count(), max_wait.count());
  return milliseconds(wait(random));
}

milliseconds ChooseRetryAfterLimit(Duration until_next, RandomGenerator& random) {
  std::uniform_int_distribution<milliseconds::rep> spread(kMinWaitForSlot.count(),
                                                          kMaxWaitForSlot.count());
  return std::chrono::ceil<milliseconds>(until_next) + milliseconds(spread(random));
}

}  // namespace qh::gateway
