#include <cstdio>
#include <fstream>

#include "load_run.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/signal_watcher.h"
#include "quetzalhinge/standin/program.h"
#include "report.h"

namespace qh::load {
namespace {

using settings::ExitCode;

constexpr const char* kProgram = "qh-load";

const settings::ProgramSpec& Program() {
  static const settings::ProgramSpec spec{
      kProgram,
      "Sends the open-loop load that --settings describes: [load] seed, direct_share (default "
      "0.05), drain_limit (default 30 s); [phase NAME] shape (steady, ramp, swing), duration, rate "
      "and to_rate in calls a second, period; [mix NAME] service, method, path, customers, weight, "
      "deadline, body_bytes. Exit code 0 only if every call has ended, no keyed call ran twice, no "
      "response was wrong and no call with the outcome not-run was executed.",
      "",
      {{"topology", "addresses of entry VMs and workers, from qh-deployment", "FILE"},
       {"json", "also write the report as JSON", "FILE"}}};
  return spec;
}

bool WriteJson(const std::string& path, const nlohmann::json& report) {
  if (path.empty()) {
    return true;
  }
  std::ofstream output(path);
  output << report.dump(2) << "\n";
  output.close();
  if (!output.good()) {
    logging::LogError("report", {ErrorCode::kUnavailable, "write", path, "cannot write the file"});
  }
  return output.good();
}

int Run(int argc, const char** argv) {
  const settings::CommandLine command_line =
      settings::ParseCommandLineOrExit(Program(), argc, argv);
  const ScenarioResult scenario =
      ParseScenario(standin::ReadSettingsOrExit(kProgram, command_line));
  const std::string topology_file = command_line.ValueOr("topology", "");
  const TopologyResult topology = ParseTopology(settings::ReadIniFile(topology_file));
  std::vector<settings::SettingsProblem> problems = scenario.problems;
  problems.insert(problems.end(), topology.problems.begin(), topology.problems.end());
  standin::ExitOnProblemsOrCheck(command_line, problems);

  logging::StartLogging(kProgram);
  net::EventLoop loop;
  LoadRun run(loop, scenario.scenario, topology.topology);
  net::SignalWatcher watcher(loop, [&](int count) {
    run.Stop();
    if (count > 1) {
      loop.Stop();
    }
  });
  // A second signal ends the run without a result, which is reported as a failure.
  std::optional<LoadResult> result;
  run.Start([&](const LoadResult& load_result) {
    result = load_result;
    loop.Stop();
  });
  loop.Run();
  if (!result.has_value()) {
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  const nlohmann::json report = MakeJsonReport(scenario.scenario, run.Ledger(), *result);
  std::fputs(MakeTextReport(report).c_str(), stdout);
  const bool written = WriteJson(command_line.ValueOr("json", ""), report);
  return static_cast<int>(report["clean"].get<bool>() && written ? ExitCode::kSuccess
                                                                 : ExitCode::kRuntimeFailure);
}

}  // namespace
}  // namespace qh::load

int main(int argc, const char** argv) { return qh::load::Run(argc, argv); }
