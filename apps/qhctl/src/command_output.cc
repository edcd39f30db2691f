#include <cstdio>
#include <ctime>

#include "commands.h"

namespace qh::ctl {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr int kConflictStatus = 409;
constexpr int kUnprocessableStatus = 422;

}  // namespace

int ReportFailure(const Error& error) {
  std::fprintf(stderr, "qhctl: %s\n", ToString(error).c_str());
  return kExitFailure;
}

int ReportFailure(const OperatorResponse& response) {
  const nlohmann::json body = response.body.is_object() ? response.body : nlohmann::json::object();
  const std::string code = body.value("code", "status " + std::to_string(response.status));
  std::fprintf(stderr, "qhctl: %s: %s: %s\n", ToString(response.from).c_str(), code.c_str(),
               body.value("message", "").c_str());
  if (response.status == kConflictStatus) {
    std::fprintf(stderr, "version %llu by %s is in force\n",
                 static_cast<unsigned long long>(body.value("version", std::uint64_t{0})),
                 body.value("author", "?").c_str());
    return kExitVersionConflict;
  }
  return response.status == kUnprocessableStatus && code == "invalid_contract" ? kExitWrongContract
                                                                               : kExitFailure;
}

std::string FormatUtcTime(std::int64_t micros) {
  const std::time_t seconds = micros / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  char fraction[16];
  std::snprintf(fraction, sizeof(fraction), ".%06dZ", static_cast<int>(micros % kMicrosPerSecond));
  return std::string(text, length) + fraction;
}

}  // namespace qh::ctl
