#pragma once

#include <string>
#include <vector>

#include "quetzalhinge/base/error.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::settings {

/** Exit codes of all programs. */
enum class ExitCode : int {
  kSuccess = 0,
  kRuntimeFailure = 1,
  kWrongCommandLine = 2,
  kRequestsAborted = 3,
  kWrongSettings = 4,
};

/** An option of a program beyond the common ones. */
struct OptionSpec {
  /** Long name without dashes. */
  std::string name;
  /** Help text with unit and default. */
  std::string help;
  /** Name of the argument in the help text; empty for a flag without argument. */
  std::string argument;
};

/** One option as given on the command line. */
struct OptionValue {
  std::string name;
  /** Empty for a flag. */
  std::string value;
};

/** What the command line asks for. */
struct CommandLine {
  /** Value of --settings; empty if not given. */
  std::string settings_file;
  /** Whether --check was given: read the settings, report all problems, exit. */
  bool check_only = false;
  std::vector<OptionValue> options;
  /** Arguments that are not options, in order. */
  std::vector<std::string> arguments;

  /** Returns whether the option `name` was given. */
  bool Has(const std::string& name) const;

  /** Returns the last value given for `name`, or `fallback`. */
  std::string ValueOr(const std::string& name, const std::string& fallback) const;
};

/** Describes a program for --help and --version. */
struct ProgramSpec {
  std::string name;
  /** One sentence on what the program does. */
  std::string summary;
  /** What follows the options in the usage line, for example "COMMAND [ARGUMENT...]". */
  std::string arguments_usage;
  std::vector<OptionSpec> options;
};

/**
 * Parses the command line. Prints help or the version and exits with ExitCode::kSuccess when asked
 * to; prints the fault and exits with ExitCode::kWrongCommandLine when an option is wrong.
 */
CommandLine ParseCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv);

/**
 * Does the same for a daemon, which takes a settings file and no other argument; without one it
 * exits with ExitCode::kWrongCommandLine.
 */
CommandLine ParseDaemonCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv);

/**
 * Prints `problems` and exits with ExitCode::kWrongSettings if there are any; exits with
 * ExitCode::kSuccess if only a check was asked for.
 */
void ExitOnProblemsOrCheck(const CommandLine& command_line,
                           const std::vector<SettingsProblem>& problems);

}  // namespace qh::settings
