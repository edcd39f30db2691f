#include "quetzalhinge/gateway/retry_advice.h"

#include <algorithm>
#include <random>

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** Speeds of machines change every 500 ms, and slots become free meanwhile. */
constexpr milliseconds kMinWaitForSlot{200};
constexpr milliseconds kMaxWaitForSlot{700};

/** Less would only add load while the cause lasts. */
constexpr milliseconds kMinWait{10};
/** Longest wait as a part of the target latency, if there is room: two returns still meet it. */
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

}  // namespace qh::gateway
