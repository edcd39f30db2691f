#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "contract_task.h"
#include "control_context.h"
#include "entry_link.h"
#include "peer_links.h"

namespace qh::control {

/** What the RPC services ask of the process. */
class GateBackend {
 public:
  virtual ~GateBackend() = default;

  /** Returns where the qh-control of the VM at `slot` listens, if that VM is heard from. */
  virtual std::optional<IpEndpoint> ControlRpcOfSlot(std::uint32_t slot) const = 0;

  /** Returns the workers of the platform's last list; nothing before the first. */
  virtual const std::optional<std::vector<platform::VmRecord>>& Workers() const = 0;
};

/**
 * Serves Cap'n Proto RPC: EntryControl to the qh-entry of this VM, ControlPeer to the qh-control of
 * other VMs. Both are given out only against a session code.
 */
class RpcGate {
 public:
  /** All arguments must outlive the gate. */
  RpcGate(ControlContext& context, const contract::ContractBook& book, EntryLink& entry,
          PeerLinks& peers, const GateBackend& backend);
  ~RpcGate();
  RpcGate(const RpcGate&) = delete;
  RpcGate& operator=(const RpcGate&) = delete;

  /** Starts to listen at the settings' control_rpc address. */
  Result<Success> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
