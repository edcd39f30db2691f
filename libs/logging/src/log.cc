#include "quetzalhinge/logging/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>

#include "line_rate_limiter.h"
#include "non_blocking_output.h"
#include "quetzalhinge/base/enum_table.h"

namespace qh::logging {
namespace {

enum class Level { kInfo, kError };

constexpr EnumTable<Level, 2> kLevelNames{{{{Level::kInfo, "info"}, {Level::kError, "error"}}}};

std::ostream& operator<<(std::ostream& stream, Level level) {
  return stream << kLevelNames.NameOf(level);
}

/** Limit of LogDecision() lines per second; each request logs two or three. */
constexpr int kMaxDecisionLinesPerSecond = 300;

std::string& ProcessName() {
  static std::string name = "?";
  return name;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"\n\r\t=") != std::string_view::npos;
}

std::string Quoted(std::string_view value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return text + "\"";
}

void AppendField(std::string& line, std::string_view name, std::string_view value) {
  line += ' ';
  line += name;
  line += '=';
  line += NeedsQuotes(value) ? Quoted(value) : std::string(value);
}

void Write(Level level, const std::string& line) {
  static boost::log::sources::severity_logger<Level> logger;
  BOOST_LOG_SEV(logger, level) << line;
}

std::string LineStart(std::string_view component, std::string_view step) {
  std::string line = "process=" + ProcessName();
  AppendField(line, "component", component);
  AppendField(line, "step", step);
  return line;
}

}  // namespace

void StartLogging(const std::string& process, LogOutput output) {
  namespace expr = boost::log::expressions;
  ProcessName() = process;
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  const auto format = expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                   << " " << expr::attr<Level>("Severity") << " " << expr::smessage;
  if (output == LogOutput::kStandardError) {
    boost::log::add_console_log(std::cerr, boost::log::keywords::format = format,
                                boost::log::keywords::auto_flush = true);
    return;
  }
  auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<NonBlockingOutput>>();
  sink->set_formatter(format);
  boost::log::core::get()->add_sink(sink);
}

void LogChange(std::string_view component, std::string_view step,
               std::initializer_list<LogField> fields) {
  std::string line = LineStart(component, step);
  for (const LogField& field : fields) {
    AppendField(line, field.name, field.value);
  }
  Write(Level::kInfo, line);
}

void LogDecision(std::string_view component, std::string_view step,
                 std::initializer_list<LogField> fields) {
  static LineRateLimiter rate_limiter(kMaxDecisionLinesPerSecond);
  if (!rate_limiter.TryAcquire(std::chrono::steady_clock::now())) {
    return;
  }
  std::string line = LineStart(component, step);
  for (const LogField& field : fields) {
    AppendField(line, field.name, field.value);
  }
  const std::uint64_t suppressed = rate_limiter.TakeSuppressedCount();
  if (suppressed > 0) {
    AppendField(line, "lines_left_out", std::to_string(suppressed));
  }
  Write(Level::kInfo, line);
}

void LogError(std::string_view component, const Error& error) {
  std::string line = LineStart(component, error.step);
  if (!error.peer.empty()) {
    AppendField(line, "peer", error.peer);
  }
  AppendField(line, "code", ToString(error.code));
  AppendField(line, "detail", error.detail);
  Write(Level::kError, line);
}

}  // namespace qh::logging
