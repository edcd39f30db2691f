#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Table in which VMs register their gossip addresses for VMs that start later. */
inline constexpr const char* kVmTable = "vms";

/**
 * Registers the gossip address of this VM in the store, and reads the addresses of the other VMs
 * once after the start of the process. Failures are logged and retried until both steps succeed.
 */
class VmRegistration {
 public:
  using OnPeers = std::function<void(const std::vector<IpEndpoint>& peers)>;

  /**
   * The loop and the store must outlive the registration.
   * @param on_peers receives the gossip addresses of the other VMs, possibly including VMs that no
   *     longer run
   */
  VmRegistration(net::EventLoop& loop, store::TableStore& store, std::string vm,
                 const IpEndpoint& gossip, OnPeers on_peers);

  /** Starts the registration; `on_peers` runs after it has succeeded. */
  void Start();

  /**
   * Tells which of the store's histories has been seen, see store::MakeVersion(). If it began after
   * the registration, the store may have lost the address of this VM, which is then written again.
   */
  void OnStoreEra(std::uint64_t era);

 private:
  void WriteAddress();
  void ReadPeers();
  void ScheduleRetry(const Error& error);

  store::TableStore& m_store;
  std::string m_vm;
  IpEndpoint m_gossip;
  OnPeers m_on_peers;
  /** The store's history that has the address; empty until the other VMs have been read. */
  std::optional<std::uint64_t> m_registered_era;
  std::uint64_t m_newest_era = 0;
  net::Timer m_retry_timer;
};

}  // namespace qh::gateway
