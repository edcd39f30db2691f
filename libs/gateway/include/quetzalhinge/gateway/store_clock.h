#pragma once

#include <optional>

#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/**
 * Converts readings of the store's steady clock to local time, so that a response that was under
 * way for a while is not taken for a current one. The store made each response after it was
 * requested and before it was received, which bounds the difference of the two clocks. Pure: takes
 * the time as an argument.
 */
class StoreClock {
 public:
  /**
   * Records a response.
   * @param reading the store's clock when it made the response, rounded down to whole milliseconds
   */
  void OnResponse(Duration reading, TimePoint requested_at, TimePoint received_at);

  /**
   * Returns the local time at which the store's clock had `reading`, or an earlier time if only
   * slow responses are known; std::nullopt before the first response.
   */
  std::optional<TimePoint> LocalTimeOf(Duration reading) const;

 private:
  /** Latest time that is known to lie before the reading 0. */
  std::optional<TimePoint> m_zero;
};

}  // namespace qh::gateway
