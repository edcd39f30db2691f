#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/base/time.h"

namespace qh::dispatch {

/**
 * This VM's share of the limits that workers state: the requests a second that a worker accepts
 * from all VMs together. All VMs hear of a limit from the worker itself and divide it without
 * communication. With k VMs, selected by rendezvous hashing of VM and worker, each sends limit / k
 * requests a second and may save one request, or what it may send in a quarter of a second if that
 * is more. As k is at most 1.5 times the limit plus 1, all VMs together send a worker at most
 * limit * (t + 1.5) + 1 requests in t seconds. The VMs that are not selected send it none.
 *
 * VMs whose views of the live VMs differ select almost the same VMs. A VM starts with no saved
 * request when it hears of a limit, or is selected.
 *
 * Pure: takes the time as an argument.
 */
class WorkerLimits {
 public:
  WorkerLimits();
  ~WorkerLimits();
  WorkerLimits(const WorkerLimits&) = delete;
  WorkerLimits& operator=(const WorkerLimits&) = delete;

  /**
   * Sets the name of this VM and of all other VMs that take requests. Until the first call this VM
   * has no share.
   */
  void SetVms(const std::string& own_vm, const std::vector<std::string>& other_vms, TimePoint now);

  /**
   * Records what the worker has stated with a response: its limit in requests a second, or that it
   * has none.
   * @return whether this differs from what it stated before
   */
  bool OnStated(std::string_view worker, std::optional<double> limit_per_s, TimePoint now);

  /** Forgets the worker's limit, after it has been removed or restarted. */
  void Forget(std::string_view worker);

  /** Returns whether this VM may send the worker a request now. */
  bool MaySend(std::string_view worker, TimePoint now);

  /** Records that this VM has sent the worker a request. */
  void OnSent(std::string_view worker, TimePoint now);

  /**
   * Returns the time until this VM may send the worker a request, 0 if it may now; std::nullopt if
   * its share is empty.
   */
  std::optional<Duration> TimeUntilSend(std::string_view worker, TimePoint now);

  /**
   * Returns the workers with a limit that have stated nothing since `before`. A VM that sends them
   * no requests must probe them to hear when their limit ends.
   */
  std::vector<std::string> NotHeardSince(TimePoint before) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::dispatch
