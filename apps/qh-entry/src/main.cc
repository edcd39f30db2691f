#include <cstdio>

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
      qh::settings::ParseCommandLineOrExit(kProgram, argc, const_cast<const char**>(argv));
  if (command_line.settings_file.empty() || !command_line.arguments.empty()) {
    std::fprintf(stderr, "qh-entry: --settings FILE is required, and no other argument\n");
    return static_cast<int>(ExitCode::kWrongCommandLine);
  }
  const auto result =
      qh::vm_settings::ParseEntryVmSettings(qh::settings::ReadIniFile(command_line.settings_file));
  for (const auto& problem : result.problems) {
    std::fprintf(stderr, "%s\n", ToString(problem).c_str());
  }
  if (!result.problems.empty()) {
    return static_cast<int>(ExitCode::kWrongSettings);
  }
  return command_line.check_only ? static_cast<int>(ExitCode::kSuccess) : Run(result.settings);
}
