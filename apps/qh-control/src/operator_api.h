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

/** Components and actions used by OperatorApi. All references must outlive it. */
struct OperatorBackend {
  ContractTask& contracts;
  PlatformTask& platform;
  EntryLink& entry;
  gossip::GossipTask& gossip;
  /** std::nullopt until a list of workers is available. */
  const std::optional<std::vector<platform::VmRecord>>& workers;
  /** Begins the planned stop of this VM. */
  std::function<void()> begin_drain;
  /** Updates gauges and counters that are computed only when the metrics are read. */
  std::function<void()> update_metrics;
};

/** HTTP interface for operators (docs/interfaces.md). */
class OperatorApi {
 public:
  OperatorApi(ControlContext& context, OperatorBackend backend);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  /** Starts listening on the operators address of the settings. */
  Result<Success> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
