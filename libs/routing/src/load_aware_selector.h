#pragma once

#include <vector>

#include "quetzalhinge/routing/worker_selector.h"

namespace qh::routing {

/** Returns whether any policy may select `worker` for `request`. */
bool IsEligible(const Worker& worker, const SelectionRequest& request) noexcept;

/** Returns the eligible ones of `candidates`. */
std::vector<const Worker*> EligibleWorkers(std::span<const Worker* const> candidates,
                                           const SelectionRequest& request);

/** Returns a random index below `size`, which must not be 0. */
std::size_t RandomIndex(std::size_t size, RandomGenerator& generator);

/** The policy `load_aware`: the cheapest of a few random workers. */
class LoadAwareSelector : public WorkerSelector {
 public:
  explicit LoadAwareSelector(const SelectorOptions& options) : m_options(options) {}

  const Worker* Select(std::span<const Worker* const> candidates, const SelectionRequest& request,
                       TimePoint now, RandomGenerator& generator) override;

 private:
  /**
   * Removes a random part of the workers in slow start, unless nothing would be left. A factor on
   * their cost would not give them a growing share: the cheapest worker takes all.
   */
  void PassOverStartingWorkers(std::vector<const Worker*>& eligible, TimePoint now,
                               RandomGenerator& generator) const;
  double CostOf(const Worker& worker, TimePoint now) const noexcept;
  double ExpectedLatency(const Worker& worker, TimePoint now) const noexcept;
  double ExpectedQueue(const Worker& worker, TimePoint now) const noexcept;
  double SlowStartShare(const Worker& worker, TimePoint now) const noexcept;

  SelectorOptions m_options;
};

}  // namespace qh::routing
