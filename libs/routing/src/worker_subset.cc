#include "quetzalhinge/routing/worker_subset.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "quetzalhinge/base/hash.h"

namespace qh::routing {
namespace {

/** One possible use of a worker by a VM slot. */
struct Pair {
  std::uint64_t weight;
  int slot;
  int worker;
};

int DivideUp(int a, int b) noexcept { return (a + b - 1) / b; }

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

/** Returns how many workers each VM uses. */
int SubsetSize(const SubsetOptions& options, int workers) noexcept {
  if (options.vm_count <= options.max_vms_per_worker) {
    return workers;
  }
  const int by_worker_limit = options.max_vms_per_worker * workers / options.vm_count;
  // With fewer, some worker would be used by no VM.
  const int to_cover_all = DivideUp(workers, options.vm_count);
  return std::min(workers, std::max({by_worker_limit, to_cover_all, options.min_workers, 1}));
}

/** Assigns workers to slots in the order of the pairs, with a bound on each side. */
class Assignment {
 public:
  Assignment(int slots, int workers, int per_slot)
      : m_per_slot(per_slot),
        m_slot_uses(static_cast<std::size_t>(slots)),
        m_worker_uses(static_cast<std::size_t>(workers)) {}

  /**
   * Takes the pairs that fit and removes them from `pairs`.
   * @return the workers of `slot` among them
   */
  std::vector<int> Take(std::vector<Pair>& pairs, int per_worker, int slot) {
    std::vector<int> taken;
    std::erase_if(pairs, [&](const Pair& pair) {
      int& slot_uses = m_slot_uses[static_cast<std::size_t>(pair.slot)];
      int& worker_uses = m_worker_uses[static_cast<std::size_t>(pair.worker)];
      if (slot_uses >= m_per_slot || worker_uses >= per_worker) {
        return false;
      }
      ++slot_uses;
      ++worker_uses;
      if (pair.slot == slot) {
        taken.push_back(pair.worker);
      }
      return true;
    });
    return taken;
  }

  /** Returns whether every slot has its workers, so that no pair can be taken any more. */
  bool IsComplete() const noexcept {
    return std::all_of(m_slot_uses.begin(), m_slot_uses.end(),
                       [&](int uses) { return uses >= m_per_slot; });
  }

  int MostUses() const noexcept {
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
  int most_uses = vms;
  if (size == workers) {
    m_members = std::move(ids);
  } else {
    std::vector<Pair> pairs = RankPairs(vms, ids);
    Assignment assignment(vms, workers, size);
    // The lower bound is filled first, so that rounding up leaves no worker without a VM. Bounds
    // above the mean serve slots for which only workers that they already use had room.
    for (int per_worker = vms * size / workers; per_worker <= vms && !assignment.IsComplete();
         ++per_worker) {
      for (const int worker : assignment.Take(pairs, per_worker, m_options.vm_slot)) {
        m_members.push_back(ids[static_cast<std::size_t>(worker)]);
      }
    }
    std::sort(m_members.begin(), m_members.end());
    most_uses = assignment.MostUses();
  }
  m_connections = std::max(1, m_options.connections_per_worker / most_uses);
}

bool WorkerSubset::Contains(std::string_view id) const noexcept {
  return std::binary_search(m_members.begin(), m_members.end(), id);
}

}  // namespace qh::routing
