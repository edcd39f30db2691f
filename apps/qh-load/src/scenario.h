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
  /** Calls per second: constant, at the start of a ramp, or at the minimum of a swing. */
  double rate = 0;
  /** Calls per second at the end of a ramp or at the maximum of a swing. */
  double to_rate = 0;
  /** Period of a swing, which is a cosine that starts at its minimum. */
  std::chrono::milliseconds period{2000};
};

/** Section [mix <name>]: one class of calls. */
struct MixEntry {
  std::string name;
  std::string service;
  /** Calls with a method other than GET and HEAD are sent with an idempotency key. */
  std::string method;
  std::string path;
  std::vector<std::string> customers;
  /** Share of all calls, relative to the weights of the other classes. */
  double weight = 1;
  std::chrono::milliseconds deadline{5000};
  std::size_t body_bytes = 0;

  /** Returns whether calls of this class have an idempotency key and must run at most once. */
  bool IsKeyed() const noexcept { return method != "GET" && method != "HEAD"; }
};

/** A load scenario. */
struct Scenario {
  std::uint64_t seed = 1;
  /** Share of calls that are sent directly to a worker, as the baseline for the added latency. */
  double direct_share = 0.05;
  /** Time-out for the calls still in progress after the last phase. */
  std::chrono::milliseconds drain_limit{30000};
  std::vector<Phase> phases;
  std::vector<MixEntry> mix;
};

/** A scenario and all problems found in its file. The scenario is valid only if there are none. */
struct ScenarioResult {
  Scenario scenario;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and validates a scenario file. */
ScenarioResult ParseScenario(const settings::IniDocument& document);

/** A worker that receives direct calls. */
struct DirectWorker {
  std::string service;
  IpEndpoint listen;
};

/** The addresses of a deployment, as qh-deployment writes them to topology.ini. */
struct Topology {
  /** Address that serves GET /standin/executions, the execution counts of the workers. */
  IpEndpoint worker_control;
  /** Addresses of all entry VMs for callers. */
  std::vector<IpEndpoint> entries;
  std::vector<DirectWorker> workers;
};

/** A topology and all problems found in its file. The topology is valid only if there are none. */
struct TopologyResult {
  Topology topology;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and validates a topology file. */
TopologyResult ParseTopology(const settings::IniDocument& document);

}  // namespace qh::load
