#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "all_series.h"
#include "quetzalhinge/settings/command_line.h"

namespace qh::capacity {
namespace {

constexpr std::size_t kQuickDivisor = 16;

std::vector<Series> AllSeries() {
  std::vector<Series> all = WorkerSeries();
  Append(all, ContractSeries());
  Append(all, CallSeries());
  Append(all, ChangeSeries());
  Append(all, MembershipSeries());
  Append(all, LoanSeries());
  return all;
}

std::vector<MeasuredSeries> MeasureAll(const MeasureOptions& options, const std::string& only) {
  std::vector<MeasuredSeries> measured;
  std::printf("%s\n", TableHeading().c_str());
  for (const Series& series : AllSeries()) {
    if (series.name.rfind(only, 0) == 0) {
      measured.push_back(Measure(series, options));
      std::printf("%s\n", TableRow(measured.back()).c_str());
      std::fflush(stdout);
    }
  }
  return measured;
}

bool WriteJson(const std::vector<MeasuredSeries>& measured, const std::string& file) {
  nlohmann::json list = nlohmann::json::array();
  for (const MeasuredSeries& series : measured) {
    list.push_back(ToJson(series));
  }
  std::ofstream stream(file);
  stream << nlohmann::json{{"series", std::move(list)}}.dump(1) << "\n";
  return stream.good();
}

bool AllFinite(const std::vector<MeasuredSeries>& measured) {
  bool all_finite = !measured.empty();
  for (const MeasuredSeries& series : measured) {
    if (!series.fit.IsFinite()) {
      std::fprintf(stderr, "%s: the fit is not finite\n", series.series.name.c_str());
      all_finite = false;
    }
  }
  return all_finite;
}

}  // namespace
}  // namespace qh::capacity

int main(int argc, const char** argv) {
  using qh::settings::ExitCode;
  const qh::settings::CommandLine command_line = qh::settings::ParseCommandLineOrExit(
      {"qh-capacity",
       "Measures memory and processor time of the modules at several sizes and fits lines.",
       "",
       {{"json", "also write the results to this file", "FILE"},
        {"quick", "small sizes and one run each: only checks that everything runs", ""},
        {"repeats", "runs at each size, of which the median counts; default 7", "N"},
        {"only", "measure only series whose name starts so; default all", "PREFIX"}}},
      argc, argv);
  qh::capacity::MeasureOptions options;
  options.repeats = std::max(1, std::atoi(command_line.ValueOr("repeats", "7").c_str()));
  if (command_line.Has("quick")) {
    options.repeats = 1;
    options.size_divisor = qh::capacity::kQuickDivisor;
  }
  const auto measured = qh::capacity::MeasureAll(options, command_line.ValueOr("only", ""));
  const std::string json_file = command_line.ValueOr("json", "");
  if (!json_file.empty() && !qh::capacity::WriteJson(measured, json_file)) {
    std::fprintf(stderr, "cannot write %s\n", json_file.c_str());
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  const bool good = qh::capacity::AllFinite(measured);
  return static_cast<int>(good ? ExitCode::kSuccess : ExitCode::kRuntimeFailure);
}
