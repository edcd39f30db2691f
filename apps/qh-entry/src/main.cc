#include "entry_process.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/signal_watcher.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace {

using qh::settings::ExitCode;

const qh::settings::ProgramSpec kProgram{
    "qh-entry", "Serves callers on an entry VM and sends their calls to workers.", "", {}};

int Run(const qh::vm_settings::EntryVmSettings& settings) {
  qh::logging::StartLogging("qh-entry");
  qh::net::EventLoop loop;
  qh::entry::EntryProcess process(loop, settings);
  const qh::Result<qh::Success> started = process.Start();
  if (!qh::IsOk(started)) {
    qh::logging::LogError("entry", qh::ErrorOf(started));
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  const qh::net::SignalWatcher signals(loop, [&](int count) { process.OnStopSignal(count); });
  loop.Run();
  return static_cast<int>(process.Exit());
}

}  // namespace

int main(int argc, char** argv) {
  const auto command_line =
      qh::settings::ParseDaemonCommandLineOrExit(kProgram, argc, const_cast<const char**>(argv));
  const auto result =
      qh::vm_settings::ParseEntryVmSettings(qh::settings::ReadIniFile(command_line.settings_file));
  qh::settings::ExitOnProblemsOrCheck(command_line, result.problems);
  return Run(result.settings);
}
