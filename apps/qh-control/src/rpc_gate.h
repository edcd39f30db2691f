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

/** Provides the membership and worker data that the RPC services need. */
class GateBackend {
 public:
  virtual ~GateBackend() = default;

  /**
   * Returns the RPC endpoint of the qh-control of the VM at `slot`; std::nullopt if no member with
   * this slot is live and active.
   */
  virtual std::optional<IpEndpoint> ControlRpcOfSlot(std::uint32_t slot) const = 0;

  /** Returns the latest list of workers; std::nullopt before the first one. */
  virtual const std::optional<std::vector<platform::VmRecord>>& Workers() const = 0;
};

/**
 * Serves Cap'n Proto RPC: EntryControl to the qh-entry of this VM, ControlPeer to the qh-control of
 * other VMs. A client gets either of them only with a valid session code.
 */
class RpcGate {
 public:
  /** All arguments must outlive the gate. */
  RpcGate(ControlContext& context, const contract::ContractBook& book, EntryLink& entry,
          PeerLinks& peers, const GateBackend& backend);
  ~RpcGate();
  RpcGate(const RpcGate&) = delete;
  RpcGate& operator=(const RpcGate&) = delete;

  /** Starts listening on the control_rpc address of the settings. */
  Result<Success> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
