#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "contract_task.h"
#include "control_context.h"
#include "entry_link.h"
#include "platform_task.h"
#include "quetzalhinge/gossip/gossip_task.h"

namespace qh::control {

/** What the operators' interface reads and starts. All references outlive it. */
struct OperatorBackend {
  ContractTask& contracts;
  PlatformTask& platform;
  EntryLink& entry;
  gossip::GossipTask& gossip;
  const std::optional<std::vector<platform::VmRecord>>& workers;
  /** Begins the planned stop of this VM. */
  std::function<void()> begin_drain;
  /** Brings gauges up to date before the metrics are read. */
  std::function<void()> update_metrics;
};

/** HTTP interface for operators (docs/interfaces.md). */
class OperatorApi {
 public:
  OperatorApi(ControlContext& context, OperatorBackend backend);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  /** Starts to listen at the settings' operators address. */
  Result<Success> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
