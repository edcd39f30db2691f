#include "quetzalhinge/standin/program.h"

#include <cstdio>
#include <cstdlib>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/signal_watcher.h"

namespace qh::standin {

using settings::ExitCode;

settings::IniDocument ReadSettingsOrExit(const std::string& program,
                                         const settings::CommandLine& command_line) {
  if (command_line.settings_file.empty()) {
    std::fprintf(stderr, "%s: --settings FILE is required\n", program.c_str());
    std::exit(static_cast<int>(ExitCode::kWrongCommandLine));
  }
  return settings::ReadIniFile(command_line.settings_file);
}

void ExitOnProblemsOrCheck(const settings::CommandLine& command_line,
                           const std::vector<settings::SettingsProblem>& problems) {
  for (const settings::SettingsProblem& problem : problems) {
    std::fprintf(stderr, "%s\n", ToString(problem).c_str());
  }
  if (!problems.empty()) {
    std::exit(static_cast<int>(ExitCode::kWrongSettings));
  }
  if (command_line.check_only) {
    std::exit(static_cast<int>(ExitCode::kSuccess));
  }
}

int FailAtRunTime(const std::string& component, const Error& error) {
  logging::LogError(component, error);
  return static_cast<int>(ExitCode::kRuntimeFailure);
}

int RunUntilStopSignal(net::EventLoop& loop, const std::string& component) {
  net::SignalWatcher watcher(loop, [&](int) {
    logging::LogChange(component, "stop", {});
    loop.Stop();
  });
  loop.Run();
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace qh::standin
