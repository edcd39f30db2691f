#include "quetzalhinge/gateway/gateway_settings.h"

#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/settings/settings_reader.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxPort = 65535;
/** More retries than all VMs can send in a window of some seconds. */
constexpr double kMaxSlack = 1e6;

IpEndpoint ReadInternal(settings::SettingsReader& reader) {
  IpEndpoint endpoint;
  endpoint.ip = reader.Text("listen", "internal_ip");
  if (reader.Has("listen", "internal_ip") && !IsIpv4Address(endpoint.ip)) {
    reader.AddProblem("listen", "internal_ip", "an IP number");
  }
  endpoint.port =
      static_cast<std::uint16_t>(reader.Integer("listen", "internal_port", 1, kMaxPort));
  return endpoint;
}

}  // namespace

GatewaySettingsResult ParseGatewaySettings(const settings::IniDocument& document) {
  settings::SettingsReader reader(document);
  GatewaySettingsResult result;
  GatewaySettings& settings = result.settings;
  settings.name = reader.Text("vm", "name");
  settings.zone = reader.Text("vm", "zone");
  settings.region = reader.Text("vm", "region", "");
  settings.callers = reader.Endpoint("listen", "callers");
  settings.ready = reader.Endpoint("listen", "ready");
  settings.addresses = reader.Endpoint("listen", "addresses");
  settings.internal = ReadInternal(reader);
  settings.store = reader.Endpoint("store", "endpoint");
  settings.apply_within = reader.Time("store", "apply_within", milliseconds(200),
                                      milliseconds(600000), settings.apply_within);
  settings.deployment_key = reader.Text("gossip", "deployment_key");
  if (settings.deployment_key.size() < auth::MessageAuthenticator::kMinKeyBytes) {
    reader.AddProblem("gossip", "deployment_key", "at least 16 characters");
  }
  settings.gossip_interval = reader.Time("gossip", "interval", milliseconds(50),
                                         milliseconds(10000), settings.gossip_interval);
  settings.retry_share = reader.Number("retries", "share", 0, 1, settings.retry_share);
  settings.retry_slack = reader.Number("retries", "slack", 0, kMaxSlack, settings.retry_slack);
  settings.catch_up =
      reader.Time("callers", "catch_up", milliseconds(1), milliseconds(600000), settings.catch_up);
  settings.max_address_ttl = reader.Time("callers", "max_address_ttl", milliseconds(1),
                                         milliseconds(600000), settings.max_address_ttl);
  settings.stop_grace =
      reader.Time("stop", "grace", milliseconds(100), milliseconds(600000), settings.stop_grace);
  settings.worker_drain =
      reader.Time("workers", "drain", milliseconds(1), milliseconds(600000), settings.worker_drain);
  settings.process_limits = settings::ReadProcessLimits(reader);
  result.problems = reader.Finish();
  return result;
}

}  // namespace qh::gateway
