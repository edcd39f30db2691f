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
  /** The program stopped while requests were in progress. */
  kRequestsAborted = 3,
  kWrongSettings = 4,
};

/** An option of a program in addition to the common ones. */
struct OptionSpec {
  /** Long name without the leading dashes. */
  std::string name;
  /** Help text with unit and default. */
  std::string help;
  /** Name of the argument in the help text. Empty for a flag, which has no argument. */
  std::string argument;
};

/** An option given on the command line. */
struct OptionValue {
  std::string name;
  /** Empty for a flag. */
  std::string value;
};

/** The parsed command line. */
struct CommandLine {
  /** Value of --settings, or empty if not given. */
  std::string settings_file;
  /** Whether --check was given: the program reads the settings, reports all problems and exits. */
  bool check_only = false;
  std::vector<OptionValue> options;
  /** Positional arguments in order. */
  std::vector<std::string> arguments;

  /** Returns whether the option `name` was given. */
  bool Has(const std::string& name) const;

  /** Returns the last value given for `name`, or `fallback`. */
  std::string ValueOr(const std::string& name, const std::string& fallback) const;
};

/** Describes a program and its options for parsing, --help and --version. */
struct ProgramSpec {
  std::string name;
  /** One sentence that describes the program. */
  std::string summary;
  /** Positional arguments in the usage line, for example "COMMAND [ARGUMENT...]". */
  std::string arguments_usage;
  std::vector<OptionSpec> options;
};

/**
 * Parses the command line. For --help and --version, prints the text and exits with
 * ExitCode::kSuccess. For an invalid option, prints the error and exits with
 * ExitCode::kWrongCommandLine.
 */
CommandLine ParseCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv);

/**
 * Parses the command line of a daemon, as ParseCommandLineOrExit() does. Exits with
 * ExitCode::kWrongCommandLine also if --settings is missing or there are positional arguments.
 */
CommandLine ParseDaemonCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv);

/**
 * Prints `problems` and exits with ExitCode::kWrongSettings if there are any. Otherwise exits with
 * ExitCode::kSuccess if --check was given.
 */
void ExitOnProblemsOrCheck(const CommandLine& command_line,
                           const std::vector<SettingsProblem>& problems);

}  // namespace qh::settings
