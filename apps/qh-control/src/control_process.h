#pragma once

#include <memory>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::control {

/** Owns all tasks of qh-control and routes events between them. */
class ControlProcess {
 public:
  explicit ControlProcess(const vm_settings::EntryVmSettings& settings);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /** Opens all sockets and starts all tasks. Returns the error of the first socket that failed. */
  Result<Success> Start();

  /** Runs until a planned stop completes. Returns the exit code. */
  settings::ExitCode Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace qh::control
