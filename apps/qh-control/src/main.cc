#include <cstdio>

#include "control_process.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace {

using qh::settings::ExitCode;

int Run(int argc, const char** argv) {
  const qh::settings::ProgramSpec program{
      "qh-control", "Keeps contracts, membership and rate shares of one entry VM.", "", {}};
  const auto command_line = qh::settings::ParseCommandLineOrExit(program, argc, argv);
  if (command_line.settings_file.empty() || !command_line.arguments.empty()) {
    std::fprintf(stderr, "qh-control: --settings FILE is required, and no other argument\n");
    return static_cast<int>(ExitCode::kWrongCommandLine);
  }
  const auto parsed =
      qh::vm_settings::ParseEntryVmSettings(qh::settings::ReadIniFile(command_line.settings_file));
  for (const auto& problem : parsed.problems) {
    std::fprintf(stderr, "%s\n", ToString(problem).c_str());
  }
  if (!parsed.problems.empty()) {
    return static_cast<int>(ExitCode::kWrongSettings);
  }
  if (command_line.check_only) {
    return static_cast<int>(ExitCode::kSuccess);
  }
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
