#include "control_process.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace {

using qh::settings::ExitCode;

int Run(int argc, const char** argv) {
  const qh::settings::ProgramSpec program{
      "qh-control", "Keeps contracts, membership and rate shares of one entry VM.", "", {}};
  const auto command_line = qh::settings::ParseDaemonCommandLineOrExit(program, argc, argv);
  const auto parsed =
      qh::vm_settings::ParseEntryVmSettings(qh::settings::ReadIniFile(command_line.settings_file));
  qh::settings::ExitOnProblemsOrCheck(command_line, parsed.problems);
  qh::logging::StartLogging("qh-control");
  qh::control::ControlProcess process(parsed.settings);
  const qh::Result<qh::Success> started = process.Start();
  if (!IsOk(started)) {
    qh::logging::LogError("process", ErrorOf(started));
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  return static_cast<int>(process.Run());
}

}  // namespace

int main(int argc, const char** argv) { return Run(argc, argv); }
