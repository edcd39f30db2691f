#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::load {

/** How the rate changes within a phase. */
enum class PhaseShape { kSteady, kRamp, kSwing };

/** Names of the shapes in scenarios. */
inline constexpr EnumTable<PhaseShape, 3> kPhaseShapeNames{{{
    {PhaseShape::kSteady, "steady"},
    {PhaseShape::kRamp, "ramp"},
    {PhaseShape::kSwing, "swing"},
}}};

/** Section [phase <name>]. Phases follow each other in the order of the file. */
struct Phase {
  std::string name;
  PhaseShape shape = PhaseShape::kSteady;
  std::chrono::milliseconds duration{0};
  /** Calls a second: constant, at the start of a ramp, or at the low point of a swing. */
  double rate = 0;
  /** Calls a second at the end of a ramp or at the high point of a swing. */
  double to_rate = 0;
  /** Length of a whole swing; it starts at the low point. */
  std::chrono::milliseconds period{2000};
};

/** Section [mix <name>]: one class of calls. */
struct MixEntry {
  std::string name;
  std::string service;
  /** Any method but GET and HEAD is sent with an idempotency key. */
  std::string method;
  std::string path;
  std::vector<std::string> customers;
  /** Share of all calls, relative to the other weights. */
  double weight = 1;
  std::chrono::milliseconds deadline{5000};
  std::size_t body_bytes = 0;

  /** Returns whether a call of this class must not run twice. */
  bool IsKeyed() const noexcept { return method != "GET" && method != "HEAD"; }
};

/** A load scenario. */
struct Scenario {
  std::uint64_t seed = 1;
  /** Share of calls that go straight to a worker, to compare with. */
  double direct_share = 0.05;
  /** How long to wait for the last calls after the last phase. */
  std::chrono::milliseconds drain_limit{30000};
  std::vector<Phase> phases;
  std::vector<MixEntry> mix;
};

/** A scenario, and every problem found in its file. Valid only if there are no problems. */
struct ScenarioResult {
  Scenario scenario;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and checks a scenario file. */
ScenarioResult ParseScenario(const settings::IniDocument& document);

/** A worker that direct calls go to. */
struct DirectWorker {
  std::string service;
  IpEndpoint listen;
};

/** The addresses of a deployment, as qh-deployment writes them to topology.ini. */
struct Topology {
  /** Serves GET /standin/executions. */
  IpEndpoint worker_control;
  /** Addresses for callers of all entry VMs. */
  std::vector<IpEndpoint> entries;
  std::vector<DirectWorker> workers;
};

/** A topology, and every problem found in its file. Valid only if there are no problems. */
struct TopologyResult {
  Topology topology;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and checks a topology file. */
TopologyResult ParseTopology(const settings::IniDocument& document);

}  // namespace qh::load
