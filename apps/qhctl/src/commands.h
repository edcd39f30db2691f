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

/** A command with its options. */
struct CommandCall {
  const settings::CommandLine& line;
  /** Arguments after the command's words. */
  std::vector<std::string> arguments;
  /** Null for commands that need no operator. */
  OperatorClient* client = nullptr;

  bool WantsJson() const { return line.Has("json"); }
};

// Each function carries out one command, prints its result and returns the exit code.

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
int Fail(const Error& error);

/** Prints the refusal in an answer to standard error; returns its exit code. */
int Fail(const OperatorAnswer& answer);

/** Returns microseconds since the Unix epoch as UTC time for people. */
std::string UtcText(std::int64_t micros);

}  // namespace qh::ctl
