#pragma once

#include <memory>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::entry {

/** The tasks of a qh-entry process and the order in which they start and stop. */
class EntryProcess {
 public:
  EntryProcess(net::EventLoop& loop, const vm_settings::EntryVmSettings& settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /** Starts to listen and to attach to qh-control. */
  Result<Success> Start();

  /** Starts a graceful shutdown, or ends it at once if one is going on. Stops the loop at its end.
   */
  void OnStopSignal(int count);

  /** Returns how the process ended; valid after the loop has stopped. */
  settings::ExitCode Exit() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::entry
