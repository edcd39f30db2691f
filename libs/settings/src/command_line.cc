#include "quetzalhinge/settings/command_line.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace qh::settings {
namespace {

constexpr const char* kVersion = "0.1.0";

/** Values that popt returns for options. Those of the program start at kFirstProgramOption. */
enum OptionId : int { kSettings = 1, kCheck, kVersionOption, kFirstProgramOption };

struct PoptDeleter {
  void operator()(poptContext context) const noexcept { poptFreeContext(context); }
};
using PoptHandle = std::unique_ptr<std::remove_pointer_t<poptContext>, PoptDeleter>;

std::vector<poptOption> BuildTable(const ProgramSpec& program) {
  std::vector<poptOption> table{
      {"settings", '\0', POPT_ARG_STRING, nullptr, kSettings, "settings file in INI form", "FILE"},
      {"check", '\0', POPT_ARG_NONE, nullptr, kCheck,
       "read the settings, report all problems and exit", nullptr},
      {"version", '\0', POPT_ARG_NONE, nullptr, kVersionOption, "print the version and exit",
       nullptr},
  };
  int id = kFirstProgramOption;
  for (const OptionSpec& option : program.options) {
    const bool is_flag = option.argument.empty();
    table.push_back({option.name.c_str(), '\0',
                     static_cast<unsigned>(is_flag ? POPT_ARG_NONE : POPT_ARG_STRING), nullptr,
                     id++, option.help.c_str(), is_flag ? nullptr : option.argument.c_str()});
  }
  table.insert(table.end(), {POPT_AUTOHELP POPT_TABLEEND});
  return table;
}

std::string ReadArgument(poptContext context) {
  const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context), &std::free);
  return argument == nullptr ? "" : argument.get();
}

[[noreturn]] void ExitWith(ExitCode code) { std::exit(static_cast<int>(code)); }

}  // namespace

bool CommandLine::Has(const std::string& name) const {
  for (const OptionValue& option : options) {
    if (option.name == name) {
      return true;
    }
  }
  return false;
}

std::string CommandLine::ValueOr(const std::string& name, const std::string& fallback) const {
  std::string value = fallback;
  for (const OptionValue& option : options) {
    if (option.name == name) {
      value = option.value;
    }
  }
  return value;
}

CommandLine ParseCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv) {
  const std::vector<poptOption> table = BuildTable(program);
  const PoptHandle handle(poptGetContext(program.name.c_str(), argc, argv, table.data(), 0));
  poptContext context = handle.get();
  const std::string usage = program.arguments_usage + "\n" + program.summary;
  poptSetOtherOptionHelp(context, usage.c_str());

  CommandLine result;
  int id = 0;
  while ((id = poptGetNextOpt(context)) > 0) {
    switch (id) {
      case kSettings:
        result.settings_file = ReadArgument(context);
        break;
      case kCheck:
        result.check_only = true;
        break;
      case kVersionOption:
        std::printf("%s %s\n", program.name.c_str(), kVersion);
        ExitWith(ExitCode::kSuccess);
      default:
        result.options.push_back(
            {program.options[static_cast<std::size_t>(id - kFirstProgramOption)].name,
             ReadArgument(context)});
    }
  }
  if (id < -1) {
    std::fprintf(stderr, "%s: %s: %s\n", program.name.c_str(), poptBadOption(context, 0),
                 poptStrerror(id));
    ExitWith(ExitCode::kWrongCommandLine);
  }
  while (const char* argument = poptGetArg(context)) {
    result.arguments.emplace_back(argument);
  }
  return result;
}

CommandLine ParseDaemonCommandLineOrExit(const ProgramSpec& program, int argc, const char** argv) {
  CommandLine command_line = ParseCommandLineOrExit(program, argc, argv);
  if (command_line.settings_file.empty() || !command_line.arguments.empty()) {
    std::fprintf(stderr,
                 "%s: --settings FILE is required and positional arguments are not allowed\n",
                 program.name.c_str());
    ExitWith(ExitCode::kWrongCommandLine);
  }
  return command_line;
}

void ExitOnProblemsOrCheck(const CommandLine& command_line,
                           const std::vector<SettingsProblem>& problems) {
  for (const SettingsProblem& problem : problems) {
    std::fprintf(stderr, "%s\n", ToString(problem).c_str());
  }
  if (!problems.empty()) {
    ExitWith(ExitCode::kWrongSettings);
  }
  if (command_line.check_only) {
    ExitWith(ExitCode::kSuccess);
  }
}

}  // namespace qh::settings
