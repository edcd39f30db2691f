#include "quetzalhinge/gateway/gateway_process.h"
#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/signal_watcher.h"
#include "quetzalhinge/net/timer.h"
#include "quetzalhinge/platform_adapter/platform_binding.h"
#include "quetzalhinge/platform_adapter/store_client.h"
#include "quetzalhinge/platform_adapter/wire_names.h"
#include "quetzalhinge/settings/changing_file.h"
#include "quetzalhinge/settings/command_line.h"

namespace {

using qh::settings::ExitCode;

const qh::settings::ProgramSpec kProgram{
    "qh-gateway", "Serves callers on an entry VM of the shared platform, in one process.", "", {}};

/** Interval of the check whether the settings file has changed without a reload signal. */
constexpr std::chrono::milliseconds kSettingsCheckInterval{2000};

qh::gateway::GatewaySettingsResult ReadSettings(const std::string& file) {
  return qh::gateway::ParseGatewaySettings(qh::settings::ReadIniFile(file));
}

int Run(const std::string& file, const qh::gateway::GatewaySettings& settings) {
  qh::logging::StartLogging("qh-gateway", qh::logging::LogOutput::kStandardOutputNonBlocking);
  qh::net::EventLoop loop;
  const qh::platform_adapter::PlatformDecoder decoder;
  const qh::platform_adapter::PlatformDiscoveryProtocol discovery;
  qh::platform_adapter::StoreClient store(loop, settings.store);
  qh::gateway::GatewayProcess process(
      loop, settings,
      {decoder, discovery, store, qh::platform_adapter::PlatformLayout(),
       qh::platform_adapter::WireHeaders(), [&file] { return ReadSettings(file); }});
  const qh::Result<qh::Success> started = process.Start();
  if (!qh::IsOk(started)) {
    qh::logging::LogError("process", qh::ErrorOf(started));
    return static_cast<int>(ExitCode::kRuntimeFailure);
  }
  qh::net::SignalWatcher signals(loop, [&](int count) { process.OnStopSignal(count); });
  qh::settings::ChangingFile settings_file(file);
  signals.OnReloadSignal([&] {
    settings_file.HasChanged();  // Marks the change as seen, as Reload() reads it now.
    process.Reload();
  });
  qh::net::Timer settings_check(loop, [&] {
    if (settings_file.HasChanged()) {
      process.Reload();
    }
  });
  settings_check.StartRepeating(kSettingsCheckInterval);
  loop.Run();
  return static_cast<int>(process.Exit());
}

}  // namespace

int main(int argc, char** argv) {
  const auto command_line =
      qh::settings::ParseDaemonCommandLineOrExit(kProgram, argc, const_cast<const char**>(argv));
  const auto result = ReadSettings(command_line.settings_file);
  qh::settings::ExitOnProblemsOrCheck(command_line, result.problems);
  return Run(command_line.settings_file, result.settings);
}
