#include "quetzalhinge/gateway/retry_advice.h"

#include <algorithm>
#include <random>

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** Speeds of machines change every 500 ms, and slots become free meanwhile. */
constexpr milliseconds kShortestWaitForRoom{200};
constexpr milliseconds kLongestWaitForRoom{700};

/** Less would only add load while the cause lasts. */
constexpr milliseconds kShortestWait{10};
/** Longest wait as a part of the target latency, if there is room: two returns still meet it. */
constexpr double kLongestWaitPart = 0.1;

}  // namespace

milliseconds AdviseReturn(RefusalCause cause, milliseconds target_latency,
                          RandomGenerator& random) {
  milliseconds shortest = kShortestWaitForRoom;
  milliseconds longest = kLongestWaitForRoom;
  if (cause == RefusalCause::kRefusedDespiteRoom) {
    const auto part = std::chrono::duration_cast<milliseconds>(target_latency * kLongestWaitPart);
    shortest = kShortestWait;
    longest = std::clamp(part, kShortestWait, kLongestWaitForRoom);
  }
  std::uniform_int_distribution<milliseconds::rep> wait(shortest.count(), longest.count());
  return milliseconds(wait(random));
}

}  // namespace qh::gateway
