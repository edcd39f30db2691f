#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/dispatch/worker_registry.h"
#include "quetzalhinge/gateway/worker_links.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::gateway {

/**
 * Keeps the limits that workers state up to date: tells the registry which VMs share them, and
 * probes workers from which this VM would otherwise not hear that their limit has ended.
 */
class LimitWatch {
 public:
  /** All references must outlive the watch. */
  LimitWatch(net::EventLoop& loop, dispatch::WorkerRegistry& registry, WorkerLinks& links,
             std::string own_vm);

  /**
   * Sets the other VMs that take requests. This VM has no share before it has run for 3 s, because
   * a process that has just started knows only some of them.
   */
  void SetOtherVms(std::vector<std::string> vms);

  /** Must be called a few times per second. */
  void Tick();

 private:
  net::EventLoop& m_loop;
  dispatch::WorkerRegistry& m_registry;
  WorkerLinks& m_links;
  std::string m_own_vm;
  std::vector<std::string> m_other_vms;
  TimePoint m_settled_at;
  /** Whether the registry knows the current VMs. */
  bool m_is_applied = false;
};

}  // namespace qh::gateway
