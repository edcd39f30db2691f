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

std::vector<MeasuredSeries> MeasureAll(const MeasureOptions& options,
                                       const std::string& name_prefix) {
  std::vector<MeasuredSeries> measured;
  std::printf("%s\n", TableHeader().c_str());
  for (const Series& series : AllSeries()) {
    if (series.name.rfind(name_prefix, 0) == 0) {
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

bool AreAllFitsFinite(const std::vector<MeasuredSeries>& measured) {
  bool all_finite = !measured.empty();
  for (const MeasuredSeries& series : measured) {
    if (!series.fit.IsFinite()) {
      std::fprintf(stderr,
                   "%s: the line fit is not finite: a measurement failed or all sizes are equal\n",
                   series.series.name.c_str());
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
       "Measures memory and CPU time of the modules at several sizes and fits a line to each "
       "series.",
       "",
       {{"json", "also write the results as JSON to this file", "FILE"},
        {"quick", "use small sizes and one run each, only to check that all series run", ""},
        {"repeats", "number of runs at each size, of which the median is reported; default 7", "N"},
        {"only", "measure only series whose names start with this prefix; default all", "PREFIX"}}},
      argc, argv);
  qh::capacity::MeasureOptions options;
  options.runs = std::max(1, std::atoi(command_line.ValueOr("repeats", "7").c_str()));
  if (command_line.Has("quick")) {
    options.runs = 1;
    options.size_divisor = qh::capacity::kQuickDivisor;
  }
  const auto measured = qh::capacity::MeasureAll(options, command_line.ValueOr("only", ""));
  const std::string json_file = command_line.ValueOr("json", "");
  if (!json_file.empty() && !qh::capacity::WriteJson(measured, json_file)) {
    std::fprintf(stderr, "cannot write %s\n", json_file.c_str());
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  const bool all_fits_finite = qh::capacity::AreAllFitsFinite(measured);
  return static_cast<int>(all_fits_finite ? ExitCode::kSuccess : ExitCode::kRuntimeFailure);
}
