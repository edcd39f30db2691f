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
  /** Standard error. Writes block while the reader is slow. */
  kStandardError,
  /**
   * Standard output, non-blocking. Lines that the reader has not consumed are buffered up to a
   * limit; further lines are dropped, and a later line reports their number.
   */
  kStandardOutputNonBlocking,
};

/**
 * Directs the log of this process to `output`. Each entry is one line of the form
 * "<UTC time> <level> process=<process> component=<component> step=<step> [peer=<peer>] ...".
 * Must be called once, before any other function of this header.
 */
void StartLogging(const std::string& process, LogOutput output = LogOutput::kStandardError);

/**
 * Logs a change of state. Frequent events are counted as metrics instead
 * (quetzalhinge/metrics/metrics_registry.h).
 */
void LogChange(std::string_view component, std::string_view step,
               std::initializer_list<LogField> fields);

/**
 * Logs a decision about one request. The rate of these lines is limited; lines over the limit are
 * suppressed, and the next line reports their number as lines_left_out.
 */
void LogDecision(std::string_view component, std::string_view step,
                 std::initializer_list<LogField> fields);

/** Logs a failure that needs an operator's attention, with the step and peer of `error`. */
void LogError(std::string_view component, const Error& error);

}  // namespace qh::logging
