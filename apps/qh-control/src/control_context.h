#pragma once

#include <memory>
#include <utility>

#include "event_log.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/overload/overload_monitor.h"
#include "quetzalhinge/overload/process_capacity.h"
#include "quetzalhinge/rpc/kj_event_loop.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::control {

/** State shared by all tasks of the process; outlives them. */
struct ControlContext {
  vm_settings::EntryVmSettings settings;
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop{loop};
  metrics::MetricsRegistry metrics;
  overload::ProcessCapacity capacity;
  /** Limits the memory for requests from operators. */
  std::shared_ptr<http::MemoryBudget> message_memory;
  overload::OverloadMonitor overload_monitor;
  RandomGenerator random = MakeSeededGenerator();
  EventLog events;

  explicit ControlContext(vm_settings::EntryVmSettings vm)
      : settings(std::move(vm)),
        capacity(overload::CapacityOf(
            settings.process_limits,
            settings.timeline_capacity * timeline::EventRing::kLongEventBytes)),
        message_memory(std::make_shared<http::MemoryBudget>(capacity.messages)),
        overload_monitor(metrics, message_memory),
        events(settings.name, settings.timeline_capacity) {}
};

}  // namespace qh::control
