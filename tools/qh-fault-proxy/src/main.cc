#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/settings_reader.h"
#include "quetzalhinge/standin/fault_proxy.h"
#include "quetzalhinge/standin/program.h"

namespace qh {
namespace {

constexpr const char* kProgram = "qh-fault-proxy";

standin::FaultProxyOptions ReadOptions(settings::SettingsReader& reader) {
  standin::FaultProxyOptions options;
  options.control = reader.Endpoint("proxy", "control");
  for (const std::string& name : reader.SectionsWithPrefix("route ")) {
    const std::string section = "route " + name;
    options.routes.push_back(
        {name, reader.Endpoint(section, "listen"), reader.Endpoint(section, "upstream")});
  }
  return options;
}

int Run(int argc, const char** argv) {
  const settings::CommandLine command_line = settings::ParseCommandLineOrExit(
      {kProgram,
       "TCP proxy that injects faults on request (POST /standin/faults). Settings: "
       "[proxy] control (IP:PORT); [route NAME] listen (IP:PORT), upstream (IP:PORT).",
       "",
       {}},
      argc, argv);
  const settings::IniDocument document = standin::ReadSettingsOrExit(kProgram, command_line);
  settings::SettingsReader reader(document);
  const standin::FaultProxyOptions options = ReadOptions(reader);
  standin::ExitOnProblemsOrCheck(command_line, reader.Finish());

  logging::StartLogging(kProgram);
  net::EventLoop loop;
  standin::FaultProxy proxy(loop, options);
  const Result<Success> started = proxy.Start();
  if (!IsOk(started)) {
    return standin::FailAtRunTime("proxy", ErrorOf(started));
  }
  logging::LogChange("proxy", "listen",
                     {{"control", ToString(proxy.ControlEndpoint())},
                      {"routes", std::to_string(options.routes.size())}});
  return standin::RunUntilStopSignal(loop, "proxy");
}

}  // namespace
}  // namespace qh

int main(int argc, const char** argv) { return qh::Run(argc, argv); }
