#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

#include "model.h"
#include "quetzalhinge/settings/command_line.h"

namespace qh::policy_model {
namespace {

constexpr double kMicrosPerMilli = 1000.0;

/**
 * A scenario with its goal for the policy load_aware: the largest acceptable ratio of its p99
 * latency of short calls to the p99 of the best other policy.
 */
struct ScenarioGoal {
  Scenario scenario;
  double max_p99_ratio;
};

const std::vector<ScenarioGoal>& ScenarioGoals() {
  static const std::vector<ScenarioGoal> goals{
      {{"steady", 0, 1, false}, 1.05},         {{"mixed", 0.03, 1, false}, 0.5},
      {{"slowed", 0, 8, false}, 0.6},          {{"fail-fast", 0, 1, true}, 0.6},
      {{"mixed-slowed", 0.03, 8, false}, 0.6}, {{"mixed-fail-fast", 0.03, 1, true}, 0.6},
  };
  return goals;
}

/** Runs the model with `seeds` consecutive seeds and adds up the results. */
RunResult RunWithSeeds(const Scenario& scenario, routing::SelectionPolicy policy,
                       RunOptions options, int seeds) {
  RunResult total;
  for (int i = 0; i < seeds; ++i, ++options.seed) {
    const RunResult result = RunModel(scenario, policy, options);
    total.short_latency.Merge(result.short_latency);
    total.long_latency.Merge(result.long_latency);
    total.calls += result.calls;
    total.errors += result.errors;
  }
  return total;
}

double QuantileMs(const metrics::LatencyHistogram& histogram, double quantile) {
  return static_cast<double>(histogram.Quantile(quantile).count()) / kMicrosPerMilli;
}

void PrintRow(const Scenario& scenario, const char* policy, const RunResult& result) {
  std::printf("%-16s %-15s %9.1f %9.1f %9.1f %9.1f %9.1f %9llu %9llu\n", scenario.name.c_str(),
              policy, QuantileMs(result.short_latency, 0.5), QuantileMs(result.short_latency, 0.99),
              QuantileMs(result.short_latency, 0.999), QuantileMs(result.long_latency, 0.5),
              QuantileMs(result.long_latency, 0.99), static_cast<unsigned long long>(result.calls),
              static_cast<unsigned long long>(result.errors));
}

/** Runs a scenario with all policies. Prints the results and whether load_aware meets the goal. */
void EvaluateGoal(const ScenarioGoal& goal, const RunOptions& options, int seeds) {
  double best_baseline = std::numeric_limits<double>::max();
  double load_aware = 0;
  for (const auto& row : routing::kSelectionPolicyNames.rows) {
    const RunResult result = RunWithSeeds(goal.scenario, row.value, options, seeds);
    PrintRow(goal.scenario, row.name, result);
    const double p99 = QuantileMs(result.short_latency, 0.99);
    if (row.value == routing::SelectionPolicy::kLoadAware) {
      load_aware = p99;
    } else {
      best_baseline = std::min(best_baseline, p99);
    }
  }
  const double ratio = load_aware / best_baseline;
  std::printf("%-16s p99 ratio %.2f, goal %.2f: %s\n\n", goal.scenario.name.c_str(), ratio,
              goal.max_p99_ratio, ratio <= goal.max_p99_ratio ? "reached" : "missed");
  std::fflush(stdout);
}

}  // namespace
}  // namespace qh::policy_model

int main(int argc, const char** argv) {
  using qh::policy_model::ScenarioGoals;
  const qh::settings::CommandLine command_line = qh::settings::ParseCommandLineOrExit(
      {"qh-policy-model",
       "Simulates worker selection policies in virtual time and compares their latencies.",
       "",
       {{"seed", "first seed, default 1", "N"},
        {"seeds", "number of runs, each with the next seed, default 3", "N"},
        {"seconds", "measured virtual time of each run in seconds, default 20", "S"},
        {"utilization", "offered load as a fraction of the capacity of all slots, default 0.7",
         "PART"},
        {"long-calls", "fraction of long calls in the mixed scenarios, default 0.03", "PART"},
        {"scenario", "run only this scenario, default all", "NAME"}}},
      argc, argv);
  qh::policy_model::RunOptions options;
  options.seed = std::strtoull(command_line.ValueOr("seed", "1").c_str(), nullptr, 10);
  options.measured_seconds = std::strtod(command_line.ValueOr("seconds", "20").c_str(), nullptr);
  options.utilization = std::strtod(command_line.ValueOr("utilization", "0.7").c_str(), nullptr);
  const int seeds = std::atoi(command_line.ValueOr("seeds", "3").c_str());
  const std::string only_scenario = command_line.ValueOr("scenario", "");

  std::printf("seeds %llu to %llu, %g s each, utilization %g; latencies in ms\n",
              static_cast<unsigned long long>(options.seed),
              static_cast<unsigned long long>(options.seed) + seeds - 1, options.measured_seconds,
              options.utilization);
  std::printf("%-16s %-15s %9s %9s %9s %9s %9s %9s %9s\n", "scenario", "policy", "short50",
              "short99", "short99.9", "long50", "long99", "calls", "errors");
  const double long_call_share =
      std::strtod(command_line.ValueOr("long-calls", "0.03").c_str(), nullptr);
  for (auto goal : ScenarioGoals()) {
    goal.scenario.long_call_share = goal.scenario.long_call_share > 0 ? long_call_share : 0;
    if (only_scenario.empty() || only_scenario == goal.scenario.name) {
      EvaluateGoal(goal, options, seeds);
    }
  }
  return 0;
}
