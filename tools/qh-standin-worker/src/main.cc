#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/settings_reader.h"
#include "quetzalhinge/standin/program.h"
#include "quetzalhinge/standin/standin_worker_group.h"

namespace qh {
namespace {

using standin::StandinWorkerOptions;

constexpr const char* kProgram = "qh-standin-worker";
constexpr double kMaxServiceTimeMs = 600000;

/** Reads the service times of a section [route <service> <path-prefix>]. */
standin::RouteTimes ReadRoute(settings::SettingsReader& reader, const std::string& section,
                              const std::string& path_prefix) {
  standin::RouteTimes route;
  route.path_prefix = path_prefix;
  route.median_ms = reader.Number(section, "median_ms", 0.001, kMaxServiceTimeMs, route.median_ms);
  route.sigma = reader.Number(section, "sigma", 0, 5, route.sigma);
  route.straggler_share = reader.Number(section, "straggler_share", 0, 1, 0);
  route.straggler_ms = reader.Number(section, "straggler_ms", 0, kMaxServiceTimeMs, 0);
  return route;
}

StandinWorkerOptions ReadWorker(settings::SettingsReader& reader, const std::string& name) {
  const std::string section = "worker " + name;
  StandinWorkerOptions options;
  options.name = name;
  options.service = reader.Text(section, "service");
  options.listen = reader.Endpoint(section, "listen");
  options.slots = static_cast<int>(reader.Integer(section, "slots", 1, 10000, options.slots));
  options.queue_length =
      static_cast<int>(reader.Integer(section, "queue_length", 0, 100000, options.queue_length));
  options.max_connections = static_cast<std::size_t>(reader.Integer(
      section, "max_connections", 1, 100000, static_cast<std::int64_t>(options.max_connections)));
  options.padding_bytes =
      static_cast<std::size_t>(reader.Integer("process", "padding_bytes", 0, 16 * 1024 * 1024,
                                              static_cast<std::int64_t>(options.padding_bytes)));
  options.crash_marker = reader.Text("process", "crash_marker", options.crash_marker);
  options.crash_exits = reader.YesNo("process", "crash_exits", options.crash_exits);
  options.seed = static_cast<std::uint64_t>(reader.Integer("process", "seed", 0, INT64_MAX, 1));
  return options;
}

standin::StandinWorkerGroupOptions ReadOptions(settings::SettingsReader& reader) {
  standin::StandinWorkerGroupOptions options;
  options.control = reader.Endpoint("process", "control");
  for (const std::string& name : reader.SectionsWithPrefix("worker ")) {
    options.workers.push_back(ReadWorker(reader, name));
  }
  for (const std::string& name : reader.SectionsWithPrefix("route ")) {
    const std::size_t separator = name.find(' ');
    const std::string service = name.substr(0, separator);
    const std::string prefix = separator == std::string::npos ? "/" : name.substr(separator + 1);
    const standin::RouteTimes route = ReadRoute(reader, "route " + name, prefix);
    for (StandinWorkerOptions& worker : options.workers) {
      if (worker.service == service) {
        worker.routes.push_back(route);
      }
    }
  }
  return options;
}

int Run(int argc, const char** argv) {
  const settings::CommandLine command_line = settings::ParseCommandLineOrExit(
      {kProgram,
       "Simulates the workers of backend servers. Settings: [process] control (IP:PORT), "
       "padding_bytes (default 256), crash_marker, crash_exits (default no), seed (default 1); "
       "[worker NAME] service, listen (IP:PORT), slots (default 6), queue_length (default 0), "
       "max_connections (default 220); [route SERVICE PATH-PREFIX] median_ms (default 5), sigma "
       "(default 0.3), straggler_share (default 0), straggler_ms (default 0).",
       "",
       {}},
      argc, argv);
  const settings::IniDocument document = standin::ReadSettingsOrExit(kProgram, command_line);
  settings::SettingsReader reader(document);
  const standin::StandinWorkerGroupOptions options = ReadOptions(reader);
  standin::ExitOnProblemsOrCheck(command_line, reader.Finish());

  logging::StartLogging(kProgram);
  net::EventLoop loop;
  standin::StandinWorkerGroup group(loop, options);
  const Result<Success> started = group.Start();
  if (!IsOk(started)) {
    return standin::FailAtRunTime("workers", ErrorOf(started));
  }
  logging::LogChange("workers", "listen",
                     {{"control", ToString(group.ControlEndpoint())},
                      {"workers", std::to_string(options.workers.size())}});
  return standin::RunUntilStopSignal(loop, "workers");
}

}  // namespace
}  // namespace qh

int main(int argc, const char** argv) { return qh::Run(argc, argv); }
