#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"

namespace qh::logging {

/** One named value of a log line. */
struct LogField {
  std::string_view name;
  std::string value;
};

/** Where log lines go. */
enum class LogOutput {
  /** Standard error; a slow reader holds the process up. */
  kStandardError,
  /**
   * Standard output without ever waiting for its reader: lines are kept up to a bound and then
   * dropped, and a later line tells how many.
   */
  kStandardOutputNonBlocking,
};

/**
 * Sends log lines of this process to `output`, one a line:
 * "<UTC time> <level> process=<process> component=<component> step=<step> [peer=<peer>] ...".
 * Call once, before any other function of this header.
 */
void StartLogging(const std::string& process, LogOutput output = LogOutput::kStandardError);

/**
 * Logs a change of state. Lines are for changes only; what happens often is counted
 * (quetzalhinge/metrics/metrics_registry.h).
 */
void LogChange(std::string_view component, std::string_view step,
               std::initializer_list<LogField> fields);

/**
 * Logs a decision about one request, unless more lines have been logged within the last second
 * than their bound allows. What was left out is counted and told by the next line.
 */
void LogDecision(std::string_view component, std::string_view step,
                 std::initializer_list<LogField> fields);

/** Logs a failure that needs an operator's attention, with the step and peer of `error`. */
void LogError(std::string_view component, const Error& error);

}  // namespace qh::logging
