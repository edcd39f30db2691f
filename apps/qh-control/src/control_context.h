#pragma once

#include "event_log.h"
#include "quetzalhinge/base/random_id.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/rpc/kj_event_loop.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::control {

/** State shared by all tasks of the process; outlives them. */
struct ControlContext {
  vm_settings::EntryVmSettings settings;
  net::EventLoop loop;
  rpc::KjEventLoop kj_loop{loop};
  metrics::MetricsRegistry metrics;
  RandomGenerator random = MakeSeededGenerator();
  EventLog events;

  explicit ControlContext(vm_settings::EntryVmSettings vm)
      : settings(std::move(vm)), events(settings.name, settings.timeline_capacity) {}
};

}  // namespace qh::control
