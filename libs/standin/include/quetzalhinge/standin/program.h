#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/net/event_loop.h"
#include "quetzalhinge/settings/command_line.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::standin {

/**
 * Reads the file given by --settings; exits with ExitCode::kWrongCommandLine if the option is
 * missing.
 */
settings::IniDocument ReadSettingsOrExit(const std::string& program,
                                         const settings::CommandLine& command_line);

/**
 * Prints all problems and exits with ExitCode::kWrongSettings if there are any. Otherwise exits
 * with ExitCode::kSuccess if --check was given, and returns if it was not.
 */
void ExitOnProblemsOrCheck(const settings::CommandLine& command_line,
                           const std::vector<settings::SettingsProblem>& problems);

/** Logs `error` and returns ExitCode::kRuntimeFailure, the exit code for main(). */
int FailAtRunTime(const std::string& component, const Error& error);

/** Runs the event loop until SIGTERM or SIGINT; returns the exit code for main(). */
int RunUntilStopSignal(net::EventLoop& loop, const std::string& component);

}  // namespace qh::standin
