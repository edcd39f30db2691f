#pragma once

#include <memory>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

/** Owns the components of a qh-entry process and starts and stops them in order. */
class EntryProcess {
 public:
  EntryProcess(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /** Starts the servers and the connection to qh-control. */
  Result<Success> Start();

  /**
   * Starts a graceful shutdown on the first signal (`count` is 1) and stops immediately on a later
   * one. The event loop is stopped at the end.
   */
  void OnStopSignal(int count);

  /** Returns the exit code of the process; valid after the event loop has stopped. */
  settings::ExitCode Exit() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::entry
