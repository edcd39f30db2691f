#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace qh::routing {

/** Size of a deployment as far as subsets depend on it. */
struct SubsetOptions {
  /** This VM's slot number, 0 to vm_count - 1. */
  int vm_slot = 0;
  /** Number of entry VM slots; at least 1. */
  int vm_count = 1;
  /** Most VMs that use one worker, unless min_workers asks for more. */
  int max_vms_per_worker = 15;
  /** Least workers in a subset (if the service has as many), so that one loss is survivable. */
  int min_workers = 3;
  /** Connections that one worker accepts from all VMs together. */
  int connections_per_worker = 220;
};

/**
 * The part of a service's workers that one VM uses. Every VM computes the same assignment of
 * workers to VM slots by rendezvous hashing of (VM slot, worker) with bounds on both sides, so that
 * without any message each worker is used by about equally many VMs and none is left out.
 * With vm_count up to max_vms_per_worker the subset is all workers.
 */
class WorkerSubset {
 public:
  explicit WorkerSubset(const SubsetOptions& options);

  /** Computes the subset of `worker_ids` anew. The order of the ids does not matter. */
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
