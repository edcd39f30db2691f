#pragma once

#include <chrono>
#include <cstddef>

#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/** Time limits of a ConfirmationSchedule. */
struct ConfirmationLimits {
  /** Time without confirmation after which the store is asked. */
  Duration max_unconfirmed{};
  /** Time from the first check to the second, if the first brings no confirmation. */
  Duration first_retry{};
  /** Time between further checks. */
  Duration retry{};
};

/**
 * Returns limits with which a change takes effect within `apply_within` after it was written, also
 * if one check is lost: 0.8 of that time pass at most until the second check, the rest is for its
 * response. Further checks are at most 0.4 of it apart, for use after an outage of the store.
 */
ConfirmationLimits ConfirmationLimitsFor(std::chrono::milliseconds apply_within);

/**
 * Returns the time between repeated checks of a table at one of `vm_count` VMs that keeps the
 * checks of all of them below 200 a second.
 */
Duration CheckIntervalFor(std::size_t vm_count);

/**
 * Decides when a VM must check a table directly at the store. A VM reads the table in ways that may
 * fail without notice: its request may get no response, and a peer may lose the store. What counts
 * is therefore only when the VM last knew that its copy was current. The next check does not depend
 * on how the other reads end. Pure: takes the time as an argument.
 */
class ConfirmationSchedule {
 public:
  /** @param start time from which the copy counts as unconfirmed */
  ConfirmationSchedule(const ConfirmationLimits& limits, TimePoint start);

  /** Records that the copy was current at `at`. An earlier time than known has no effect. */
  void OnConfirmed(TimePoint at);

  /** Records that a check starts at `now`. */
  void OnCheckStarted(TimePoint now);

  /**
   * Lengthens the time between checks that remain without confirmation, from the second one on, to
   * at least `interval`.
   */
  void SetMinRetry(Duration interval) noexcept { m_min_retry = interval; }

  /** Returns when the next check is due. */
  TimePoint NextCheck() const noexcept;

 private:
  ConfirmationLimits m_limits;
  Duration m_min_retry{};
  TimePoint m_confirmed_at;
  TimePoint m_checked_at{};
  /** Checks since the last confirmation. */
  std::size_t m_checks = 0;
};

}  // namespace qh::gateway
