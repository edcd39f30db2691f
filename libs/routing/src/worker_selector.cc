#include "quetzalhinge/routing/worker_selector.h"

#include <algorithm>

#include "load_aware_selector.h"

namespace qh::routing {
namespace {

class RandomSelector : public WorkerSelector {
 public:
  const Worker* Select(std::span<const Worker* const> candidates, const SelectionRequest& request,
                       TimePoint /*now*/, RandomGenerator& generator) override {
    const auto eligible = EligibleWorkers(candidates, request);
    return eligible.empty() ? nullptr : eligible[RandomIndex(eligible.size(), generator)];
  }
};

class RoundRobinSelector : public WorkerSelector {
 public:
  const Worker* Select(std::span<const Worker* const> candidates, const SelectionRequest& request,
                       TimePoint /*now*/, RandomGenerator& /*generator*/) override {
    for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
      const Worker* worker = candidates[m_next++ % candidates.size()];
      if (IsEligible(*worker, request)) {
        return worker;
      }
    }
    return nullptr;
  }

 private:
  std::size_t m_next = 0;
};

/** Selects a worker with the fewest requests of this VM in progress, at random if several. */
class LeastRequestsSelector : public WorkerSelector {
 public:
  const Worker* Select(std::span<const Worker* const> candidates, const SelectionRequest& request,
                       TimePoint /*now*/, RandomGenerator& generator) override {
    auto eligible = EligibleWorkers(candidates, request);
    if (eligible.empty()) {
      return nullptr;
    }
    std::shuffle(eligible.begin(), eligible.end(), generator);
    return *std::min_element(
        eligible.begin(), eligible.end(),
        [](const Worker* a, const Worker* b) { return a->InProgress() < b->InProgress(); });
  }
};

}  // namespace

bool IsEligible(const Worker& worker, const SelectionRequest& request) noexcept {
  return worker.state == WorkerState::kLive && worker.InProgress() < worker.in_progress_limit &&
         std::find(request.excluded.begin(), request.excluded.end(), worker.info.id) ==
             request.excluded.end();
}

std::vector<const Worker*> EligibleWorkers(std::span<const Worker* const> candidates,
                                           const SelectionRequest& request) {
  std::vector<const Worker*> eligible;
  eligible.reserve(candidates.size());
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(eligible),
               [&](const Worker* worker) { return IsEligible(*worker, request); });
  return eligible;
}

std::size_t RandomIndex(std::size_t size, RandomGenerator& generator) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator);
}

std::unique_ptr<WorkerSelector> MakeWorkerSelector(SelectionPolicy policy,
                                                   const SelectorOptions& options) {
  switch (policy) {
    case SelectionPolicy::kRandom:
      return std::make_unique<RandomSelector>();
    case SelectionPolicy::kRoundRobin:
      return std::make_unique<RoundRobinSelector>();
    case SelectionPolicy::kLeastRequests:
      return std::make_unique<LeastRequestsSelector>();
    case SelectionPolicy::kLoadAware:
      break;
  }
  return std::make_unique<LoadAwareSelector>(options);
}

}  // namespace qh::routing
