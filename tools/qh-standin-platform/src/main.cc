#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/settings/settings_reader.h"
#include "quetzalhinge/standin/program.h"
#include "quetzalhinge/standin/standin_platform.h"

namespace qh {
namespace {

constexpr const char* kProgram = "qh-standin-platform";

standin::StandinPlatformOptions ReadOptions(settings::SettingsReader& reader) {
  standin::StandinPlatformOptions options;
  options.listen = reader.Endpoint("platform", "listen");
  options.list_lag =
      reader.Time("platform", "list_lag", std::chrono::milliseconds(0), std::chrono::minutes(10),
                  std::optional(std::chrono::milliseconds(0)));
  options.vms = standin::ReadVmSections(reader);
  return options;
}

int Run(int argc, const char** argv) {
  const settings::CommandLine command_line = settings::ParseCommandLineOrExit(
      {kProgram,
       "Simulates the platform's table service, object store and VM list. Settings: "
       "[platform] listen (IP:PORT), list_lag (default 0 ms); [vm NAME] role, service, zone, ip, "
       "port, gossip_port, control_rpc_port, entry_rpc_port.",
       "",
       {}},
      argc, argv);
  const settings::IniDocument document = standin::ReadSettingsOrExit(kProgram, command_line);
  settings::SettingsReader reader(document);
  const standin::StandinPlatformOptions options = ReadOptions(reader);
  standin::ExitOnProblemsOrCheck(command_line, reader.Finish());

  logging::StartLogging(kProgram);
  net::EventLoop loop;
  standin::StandinPlatform platform(loop, options);
  const Result<Success> started = platform.Start();
  if (!IsOk(started)) {
    return standin::FailAtRunTime("platform", ErrorOf(started));
  }
  logging::LogChange("platform", "listen", {{"address", ToString(platform.LocalEndpoint())}});
  return standin::RunUntilStopSignal(loop, "platform");
}

}  // namespace
}  // namespace qh

int main(int argc, const char** argv) { return qh::Run(argc, argv); }
