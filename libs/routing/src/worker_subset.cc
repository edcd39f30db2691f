#include "quetzalhinge/routing/worker_subset.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "quetzalhinge/base/hash.h"

namespace qh::routing {
namespace {

/** A possible assignment of a worker to a VM slot, with its rendezvous hash as the weight. */
struct Pair {
  std::uint64_t weight;
  int slot;
  int worker;
};

int DivideRoundingUp(int a, int b) noexcept { return (a + b - 1) / b; }

std::vector<Pair> RankPairs(int slots, std::span<const std::string> workers) {
  std::vector<Pair> pairs;
  pairs.reserve(static_cast<std::size_t>(slots) * workers.size());
  for (int slot = 0; slot < slots; ++slot) {
    const std::uint64_t seed = HashBytes(std::to_string(slot));
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
      pairs.push_back({HashBytes(workers[worker], seed), slot, static_cast<int>(worker)});
    }
  }
  std::sort(pairs.begin(), pairs.end(), [](const Pair& a, const Pair& b) {
    return std::tie(b.weight, a.slot, a.worker) < std::tie(a.weight, b.slot, b.worker);
  });
  return pairs;
}

/** Returns the number of workers that each VM uses. */
int SubsetSize(const SubsetOptions& options, int workers) noexcept {
  if (options.vm_count <= options.max_vms_per_worker) {
    return workers;
  }
  const int by_worker_limit = options.max_vms_per_worker * workers / options.vm_count;
  // With fewer workers per VM, some worker would not be used by any VM.
  const int to_cover_all = DivideRoundingUp(workers, options.vm_count);
  return std::min(workers, std::max({by_worker_limit, to_cover_all, options.min_workers, 1}));
}

/** Assigns workers to VM slots, with upper bounds per slot and per worker. */
class Assignment {
 public:
  Assignment(int slots, int workers, int per_slot)
      : m_per_slot(per_slot),
        m_slot_uses(static_cast<std::size_t>(slots)),
        m_worker_uses(static_cast<std::size_t>(workers)) {}

  /**
   * Assigns the pairs that are within the bounds, in their order, and removes them from `pairs`.
   * @return the workers that were assigned to `slot`
   */
  std::vector<int> AssignPairs(std::vector<Pair>& pairs, int per_worker, int slot) {
    std::vector<int> assigned;
    std::erase_if(pairs, [&](const Pair& pair) {
      int& slot_uses = m_slot_uses[static_cast<std::size_t>(pair.slot)];
      int& worker_uses = m_worker_uses[static_cast<std::size_t>(pair.worker)];
      if (slot_uses >= m_per_slot || worker_uses >= per_worker) {
        return false;
      }
      ++slot_uses;
      ++worker_uses;
      if (pair.slot == slot) {
        assigned.push_back(pair.worker);
      }
      return true;
    });
    return assigned;
  }

  /** Returns whether every slot has reached its bound, so that no more pairs can be assigned. */
  bool IsComplete() const noexcept {
    return std::all_of(m_slot_uses.begin(), m_slot_uses.end(),
                       [&](int uses) { return uses >= m_per_slot; });
  }

  /** Returns the largest number of slots to which one worker is assigned. */
  int MaxWorkerUses() const noexcept {
    return *std::max_element(m_worker_uses.begin(), m_worker_uses.end());
  }

 private:
  int m_per_slot;
  std::vector<int> m_slot_uses;
  std::vector<int> m_worker_uses;
};

}  // namespace

WorkerSubset::WorkerSubset(const SubsetOptions& options) : m_options(options) {}

void WorkerSubset::Update(std::span<const std::string> worker_ids) {
  m_members.clear();
  m_connections = 1;
  if (worker_ids.empty()) {
    return;
  }
  std::vector<std::string> ids(worker_ids.begin(), worker_ids.end());
  std::sort(ids.begin(), ids.end());
  const int workers = static_cast<int>(ids.size());
  const int vms = std::max(1, m_options.vm_count);
  const int size = SubsetSize(m_options, workers);
  int max_worker_uses = vms;
  if (size == workers) {
    m_members = std::move(ids);
  } else {
    std::vector<Pair> pairs = RankPairs(vms, ids);
    Assignment assignment(vms, workers, size);
    // The first bound is the mean number of VMs per worker, rounded down: rounding up could leave a
    // worker without a VM. Higher bounds serve slots that already use all workers with spare
    // capacity.
    for (int per_worker = vms * size / workers; per_worker <= vms && !assignment.IsComplete();
         ++per_worker) {
      for (const int worker : assignment.AssignPairs(pairs, per_worker, m_options.vm_slot)) {
        m_members.push_back(ids[static_cast<std::size_t>(worker)]);
      }
    }
    std::sort(m_members.begin(), m_members.end());
    max_worker_uses = assignment.MaxWorkerUses();
  }
  m_connections = std::max(1, m_options.connections_per_worker / max_worker_uses);
}

bool WorkerSubset::Contains(std::string_view id) const noexcept {
  return std::binary_search(m_members.begin(), m_members.end(), id);
}

}  // namespace qh::routing
