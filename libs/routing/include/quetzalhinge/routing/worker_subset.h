#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace qh::routing {

/** Properties of the deployment that determine the subsets. */
struct SubsetOptions {
  /** This VM's slot number, 0 to vm_count - 1. */
  int vm_slot = 0;
  /** Number of entry VM slots; at least 1. */
  int vm_count = 1;
  /** Maximum number of VMs that use one worker, unless min_workers requires more. */
  int max_vms_per_worker = 15;
  /** Minimum size of a subset, if the service has as many workers; allows for a lost worker. */
  int min_workers = 3;
  /** Maximum number of connections to one worker from all VMs together. */
  int connections_per_worker = 220;
};

/**
 * The subset of a service's workers that one VM uses. Every VM computes the same assignment of
 * workers to VM slots by rendezvous hashing of (VM slot, worker) with bounds for both. Without any
 * communication, each worker is thus used by about the same number of VMs, and by at least one.
 * With vm_count up to max_vms_per_worker the subset contains all workers.
 */
class WorkerSubset {
 public:
  explicit WorkerSubset(const SubsetOptions& options);

  /** Recomputes the subset from `worker_ids`, which may be in any order. */
  void Update(std::span<const std::string> worker_ids);

  /** Returns the ids in the subset, sorted. */
  const std::vector<std::string>& Members() const noexcept { return m_members; }

  /** Returns whether `id` is in the subset. */
  bool Contains(std::string_view id) const noexcept;

  /** Returns how many connections this VM may open to each worker; at least 1. */
  int ConnectionsPerWorker() const noexcept { return m_connections; }

 private:
  SubsetOptions m_options;
  std::vector<std::string> m_members;
  int m_connections = 1;
};

}  // namespace qh::routing
