#pragma once

#include <vector>

#include "quetzalhinge/routing/worker_selector.h"

namespace qh::routing {

/** Returns whether `worker` is live, below its limit and not excluded; applies to all policies. */
bool IsEligible(const Worker& worker, const SelectionRequest& request) noexcept;

/** Returns the eligible workers among `candidates`. */
std::vector<const Worker*> EligibleWorkers(std::span<const Worker* const> candidates,
                                           const SelectionRequest& request);

/** Returns a random index below `size`, which must not be 0. */
std::size_t RandomIndex(std::size_t size, RandomGenerator& generator);

/** The policy `load_aware`: selects the worker with the lowest cost among a few random ones. */
class LoadAwareSelector : public WorkerSelector {
 public:
  explicit LoadAwareSelector(const SelectorOptions& options) : m_options(options) {}

  const Worker* Select(std::span<const Worker* const> candidates, const SelectionRequest& request,
                       TimePoint now, RandomGenerator& generator) override;

 private:
  /**
   * Removes each worker in slow start with a probability that decreases over time, unless no worker
   * would be left. A cost factor would not give them a growing share of requests, because the
   * cheapest worker gets all requests.
   */
  void FilterSlowStartWorkers(std::vector<const Worker*>& eligible, TimePoint now,
                              RandomGenerator& generator) const;
  double CostOf(const Worker& worker, TimePoint now) const noexcept;
  double ExpectedLatency(const Worker& worker, TimePoint now) const noexcept;
  double ExpectedQueue(const Worker& worker, TimePoint now) const noexcept;
  double SlowStartShare(const Worker& worker, TimePoint now) const noexcept;

  SelectorOptions m_options;
};

}  // namespace qh::routing
