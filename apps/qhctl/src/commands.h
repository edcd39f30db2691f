#pragma once

#include <string>
#include <vector>

#include "operator_client.h"
#include "quetzalhinge/settings/command_line.h"

namespace qh::ctl {

/** Exit codes beyond settings::ExitCode. */
inline constexpr int kExitVersionConflict = 5;
inline constexpr int kExitSuccess = static_cast<int>(settings::ExitCode::kSuccess);
inline constexpr int kExitFailure = static_cast<int>(settings::ExitCode::kRuntimeFailure);
inline constexpr int kExitWrongCommandLine =
    static_cast<int>(settings::ExitCode::kWrongCommandLine);
inline constexpr int kExitWrongContract = static_cast<int>(settings::ExitCode::kWrongSettings);

/** A command line that has been parsed and matched to a command. */
struct CommandCall {
  const settings::CommandLine& line;
  /** Arguments after the words of the command. */
  std::vector<std::string> arguments;
  /** Client for qh-control; null for commands that do not need it. */
  OperatorClient* client = nullptr;

  bool WantsJson() const { return line.Has("json"); }
};

// Each of these functions runs one command, prints its result and returns the exit code.

int ApplyContract(const CommandCall& call);
int RemoveContract(const CommandCall& call);
int CheckContract(const CommandCall& call);
int ShowContract(const CommandCall& call);
int ListContracts(const CommandCall& call);
int ShowHistory(const CommandCall& call);

int ShowStatus(const CommandCall& call);
int ShowWorkers(const CommandCall& call);
int DrainVm(const CommandCall& call);
int ShowTimeline(const CommandCall& call);

/** Prints an error to standard error; returns kExitFailure. */
int ReportFailure(const Error& error);

/** Prints an error response to standard error; returns the exit code for it. */
int ReportFailure(const OperatorResponse& response);

/** Formats microseconds since the Unix epoch as UTC time, such as 2026-12-04T09:00:00.000000Z. */
std::string FormatUtcTime(std::int64_t micros);

}  // namespace qh::ctl
