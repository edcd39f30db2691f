#include "scenario.h"

#include <limits>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::load {
namespace {

using settings::SettingsReader;
using std::chrono::milliseconds;

constexpr double kMaxRate = 1e6;
constexpr milliseconds kMaxDuration{86400000};

Phase ReadPhase(SettingsReader& reader, const std::string& name) {
  const std::string section = "phase " + name;
  Phase phase;
  phase.name = name;
  phase.shape = reader.Choice(section, "shape", kPhaseShapeNames,
                              std::optional<PhaseShape>(PhaseShape::kSteady));
  phase.duration = reader.Time(section, "duration", milliseconds(1), kMaxDuration);
  phase.rate = reader.Number(section, "rate", 0.001, kMaxRate);
  phase.to_rate = reader.Number(section, "to_rate", 0.001, kMaxRate, phase.rate);
  phase.period = reader.Time(section, "period", milliseconds(10), kMaxDuration, phase.period);
  return phase;
}

MixEntry ReadMix(SettingsReader& reader, const std::string& name) {
  const std::string section = "mix " + name;
  MixEntry mix;
  mix.name = name;
  mix.service = reader.Text(section, "service");
  mix.method = reader.Text(section, "method", "GET");
  mix.path = reader.Text(section, "path", "/");
  if (!mix.path.starts_with('/') || mix.path.find('?') != std::string::npos) {
    reader.AddProblem(section, "path", "a path that starts with '/' and has no query");
  }
  mix.customers = reader.List(section, "customers");
  if (mix.customers.empty()) {
    reader.AddProblem(section, "customers", "at least one customer");
  }
  mix.weight = reader.Number(section, "weight", 0.001, kMaxRate, mix.weight);
  mix.deadline =
      reader.Time(section, "deadline", milliseconds(1), milliseconds(600000), mix.deadline);
  mix.body_bytes =
      static_cast<std::size_t>(reader.Integer(section, "body_bytes", 0, 16 * 1024 * 1024, 0));
  return mix;
}

}  // namespace

ScenarioResult ParseScenario(const settings::IniDocument& document) {
  SettingsReader reader(document);
  ScenarioResult result;
  Scenario& scenario = result.scenario;
  scenario.seed = static_cast<std::uint64_t>(
      reader.Integer("load", "seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
  scenario.direct_share = reader.Number("load", "direct_share", 0, 1, scenario.direct_share);
  scenario.drain_limit = reader.Time("load", "drain_limit", milliseconds(1), milliseconds(600000),
                                     scenario.drain_limit);
  for (const std::string& name : reader.SectionsWithPrefix("phase ")) {
    scenario.phases.push_back(ReadPhase(reader, name));
  }
  for (const std::string& name : reader.SectionsWithPrefix("mix ")) {
    scenario.mix.push_back(ReadMix(reader, name));
  }
  if (scenario.phases.empty()) {
    reader.AddProblem("phase", "", "at least one section [phase <name>]");
  }
  if (scenario.mix.empty()) {
    reader.AddProblem("mix", "", "at least one section [mix <name>]");
  }
  result.problems = reader.Finish();
  return result;
}

TopologyResult ParseTopology(const settings::IniDocument& document) {
  SettingsReader reader(document);
  TopologyResult result;
  Topology& topology = result.topology;
  topology.worker_control = reader.Endpoint("topology", "worker_control");
  for (const std::string& name : reader.SectionsWithPrefix("entry ")) {
    topology.entries.push_back(reader.Endpoint("entry " + name, "callers"));
  }
  for (const std::string& name : reader.SectionsWithPrefix("worker ")) {
    const std::string section = "worker " + name;
    topology.workers.push_back(
        {reader.Text(section, "service"), reader.Endpoint(section, "listen")});
  }
  if (topology.entries.empty()) {
    reader.AddProblem("entry", "", "at least one section [entry <name>]");
  }
  result.problems = reader.Finish();
  return result;
}

}  // namespace qh::load
