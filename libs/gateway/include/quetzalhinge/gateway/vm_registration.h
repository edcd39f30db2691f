#pragma once

#include <functional>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/store/table_store.h"

namespace qh::gateway {

/** Table in which VMs leave their gossip address for those that start later. */
inline constexpr const char* kVmTable = "vms";

/**
 * Leaves the own gossip address in the store and reads those of the other VMs, once after the start
 * of the process. Failures are logged and tried again until both have succeeded.
 */
class VmRegistration {
 public:
  using OnPeers = std::function<void(const std::vector<IpEndpoint>& peers)>;

  /**
   * The loop and the store must outlive the registration.
   * @param on_peers gets the gossip addresses of the other VMs, also of some that are gone
   */
  VmRegistration(net::EventLoop& loop, store::TableStore& store, std::string vm,
                 const IpEndpoint& gossip, OnPeers on_peers);

  void Start();

 private:
  void ReadPeers();
  void ScheduleRetry(const Error& error);

  store::TableStore& m_store;
  std::string m_vm;
  IpEndpoint m_gossip;
  OnPeers m_on_peers;
  net::Timer m_retry_timer;
};

}  // namespace qh::gateway
