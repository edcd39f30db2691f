#include <algorithm>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "commands.h"

namespace {

using qh::ctl::CommandCall;
using qh::settings::CommandLine;
using qh::settings::ProgramSpec;

/** A command: its words, the number of arguments after them, and the function that runs it. */
struct Command {
  std::vector<std::string> words;
  std::size_t argument_count;
  bool needs_operators;
  int (*run)(const CommandCall& call);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands{
      {{"contract", "apply"}, 1, true, qh::ctl::ApplyContract},
      {{"contract", "remove"}, 1, true, qh::ctl::RemoveContract},
      {{"contract", "check"}, 1, false, qh::ctl::CheckContract},
      {{"contract", "show"}, 1, true, qh::ctl::ShowContract},
      {{"contract", "list"}, 0, true, qh::ctl::ListContracts},
      {{"contract", "history"}, 1, true, qh::ctl::ShowHistory},
      {{"status"}, 0, true, qh::ctl::ShowStatus},
      {{"workers"}, 0, true, qh::ctl::ShowWorkers},
      {{"drain"}, 1, true, qh::ctl::DrainVm},
      {{"timeline"}, 0, true, qh::ctl::ShowTimeline},
  };
  return commands;
}

ProgramSpec Spec() {
  return {
      "qhctl",
      "Command-line client of qh-control for operators. Commands: contract apply FILE, contract "
      "remove CUSTOMER, contract check FILE, contract show CUSTOMER, contract list, contract "
      "history CUSTOMER, status, workers, drain VM, timeline.",
      "COMMAND [ARGUMENT...]",
      {
          {"operators", "operator addresses of qh-control, tried in order; may be repeated",
           "IP:PORT,..."},
          {"token-file", "file whose first line is the operator token", "FILE"},
          {"json", "print JSON instead of text", ""},
          {"expect-version", "apply, remove: refuse unless this version is current; 0: no contract",
           "N"},
          {"wait", "apply, remove: wait until all live VMs enforce the change, at most 10 s", ""},
          {"request", "timeline: only events of this request", "ID"},
          {"customer", "timeline: only events of this customer", "NAME"},
          {"worker", "timeline: only events of this worker", "NAME"},
          {"vm", "timeline: only events of this entry VM", "NAME"},
          {"from", "timeline: earliest time, UTC (2026-12-04T09:00:00) or Unix seconds", "TIME"},
          {"until", "timeline: latest time, in the format of --from", "TIME"},
      }};
}

int ReportWrongCommandLine(const std::string& message) {
  std::fprintf(stderr, "qhctl: %s; see --help\n", message.c_str());
  return qh::ctl::kExitWrongCommandLine;
}

const Command* FindCommand(const std::vector<std::string>& arguments) {
  for (const Command& command : Commands()) {
    if (arguments.size() == command.words.size() + command.argument_count &&
        std::equal(command.words.begin(), command.words.end(), arguments.begin())) {
      return &command;
    }
  }
  return nullptr;
}

/** Returns the addresses of all --operators options; std::nullopt if one is not IP:PORT. */
std::optional<std::vector<qh::IpEndpoint>> ParseOperators(const CommandLine& line) {
  std::vector<qh::IpEndpoint> endpoints;
  for (const auto& option : line.options) {
    if (option.name != "operators") {
      continue;
    }
    std::size_t start = 0;
    while (start <= option.value.size()) {
      const std::size_t comma = std::min(option.value.find(',', start), option.value.size());
      const auto endpoint = qh::ParseIpEndpoint(option.value.substr(start, comma - start));
      if (!endpoint.has_value()) {
        return std::nullopt;
      }
      endpoints.push_back(*endpoint);
      start = comma + 1;
    }
  }
  return endpoints;
}

std::string ReadToken(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  std::getline(file, token);
  return token;
}

int Run(int argc, const char** argv) {
  const CommandLine line = qh::settings::ParseCommandLineOrExit(Spec(), argc, argv);
  if (!line.settings_file.empty() || line.check_only) {
    return ReportWrongCommandLine("--settings and --check are not supported");
  }
  const Command* command = FindCommand(line.arguments);
  if (command == nullptr) {
    return ReportWrongCommandLine("unknown command, or wrong number of arguments");
  }
  CommandCall call{line,
                   {line.arguments.begin() + static_cast<std::ptrdiff_t>(command->words.size()),
                    line.arguments.end()}};
  if (!command->needs_operators) {
    return command->run(call);
  }
  const auto operators = ParseOperators(line);
  if (!operators.has_value() || operators->empty()) {
    return ReportWrongCommandLine("--operators IP:PORT[,IP:PORT...] is required");
  }
  const std::string token = ReadToken(line.ValueOr("token-file", ""));
  if (token.empty()) {
    return ReportWrongCommandLine("--token-file FILE with a token is required");
  }
  qh::ctl::OperatorClient client(*operators, token);
  call.client = &client;
  return command->run(call);
}

}  // namespace

int main(int argc, const char** argv) { return Run(argc, argv); }
