#include "quetzalhinge/vm_settings/entry_vm_settings.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::vm_settings {
namespace {

using settings::SettingsReader;
using std::chrono::milliseconds;

constexpr int kMaxEntryVms = 1000;
constexpr std::size_t kMinSecretLength = 16;
constexpr std::int64_t kMaxMemoryBytes = std::int64_t{1} << 30;

bool IsName(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
  });
}

void ReadVm(SettingsReader& reader, EntryVmSettings& settings) {
  settings.name = reader.Text("vm", "name");
  if (reader.Has("vm", "name") && !IsName(settings.name)) {
    reader.AddProblem("vm", "name", "letters, digits and '-'");
  }
  settings.zone = reader.Text("vm", "zone");
  settings.vm_count = static_cast<int>(reader.Integer("vm", "vm_count", 1, kMaxEntryVms));
  settings.slot = static_cast<int>(reader.Integer("vm", "slot", 0, kMaxEntryVms - 1));
  if (settings.slot >= settings.vm_count) {
    reader.AddProblem("vm", "slot", "a whole number below vm_count");
  }
}

void ReadAddresses(SettingsReader& reader, EntryVmAddresses& addresses) {
  struct AddressKey {
    const char* key;
    IpEndpoint EntryVmAddresses::*member;
  };
  constexpr std::array<AddressKey, 6> kKeys{{
      {"callers", &EntryVmAddresses::callers},
      {"entry_admin", &EntryVmAddresses::entry_admin},
      {"operators", &EntryVmAddresses::operators},
      {"gossip", &EntryVmAddresses::gossip},
      {"control_rpc", &EntryVmAddresses::control_rpc},
      {"entry_rpc", &EntryVmAddresses::entry_rpc},
  }};
  for (const AddressKey& row : kKeys) {
    addresses.*row.member = reader.Endpoint("addresses", row.key);
  }
}

std::string ReadSecret(SettingsReader& reader, const char* key) {
  std::string secret = reader.Text("keys", key);
  if (reader.Has("keys", key) && secret.size() < kMinSecretLength) {
    reader.AddProblem("keys", key, "at least 16 characters");
  }
  return secret;
}

void ReadPlatformAndPeers(SettingsReader& reader, EntryVmSettings& settings) {
  settings.platform = reader.Endpoint("platform", "endpoint");
  settings.platform_timeout = reader.Time("platform", "request_timeout", milliseconds(10),
                                          milliseconds(30000), settings.platform_timeout);
  settings.vm_list_interval = reader.Time("platform", "list_interval", milliseconds(50),
                                          milliseconds(60000), settings.vm_list_interval);
  settings.seeds = reader.Endpoints("peers", "seeds");
  settings.deployment_key = ReadSecret(reader, "deployment_key");
  settings.operator_token = ReadSecret(reader, "operator_token");
}

void ReadCallers(SettingsReader& reader, EntryVmSettings& settings) {
  settings.address_ttl = reader.Time("callers", "address_ttl", milliseconds(100),
                                     milliseconds(60000), settings.address_ttl);
  settings.caller_timeout = reader.Time("callers", "request_timeout", milliseconds(100),
                                        milliseconds(600000), settings.caller_timeout);
  settings.max_body_bytes =
      static_cast<std::size_t>(reader.Integer("callers", "max_body_bytes", 1, kMaxMemoryBytes,
                                              static_cast<std::int64_t>(settings.max_body_bytes)));
}

void ReadLimitsAndRouting(SettingsReader& reader, EntryVmSettings& settings) {
  settings.confirmation_limit = reader.Time("contracts", "confirmation_limit", milliseconds(500),
                                            milliseconds(60000), settings.confirmation_limit);
  settings.home_slots = static_cast<int>(
      reader.Integer("limits", "home_slots", 1, kMaxEntryVms, settings.home_slots));
  settings.queue_length =
      static_cast<int>(reader.Integer("limits", "queue_length", 0, 100000, settings.queue_length));
  settings.process_limits = settings::ReadProcessLimits(reader);
  settings.policy = reader.Choice("routing", "policy", kRoutingPolicyNames,
                                  std::optional<RoutingPolicy>(settings.policy));
  settings.connections_per_worker = static_cast<int>(
      reader.Integer("routing", "connections_per_worker", 1, 220, settings.connections_per_worker));
  settings.silent_after = reader.Time("routing", "silent_after", milliseconds(10),
                                      milliseconds(600000), settings.silent_after);
  settings.probe_budget = reader.Number("probes", "budget", 0, 100, settings.probe_budget);
}

void ReadIdempotencyKeys(SettingsReader& reader, EntryVmSettings& settings) {
  constexpr const char* kSection = "keys_at_most_once";
  settings.key_validity = reader.Time(kSection, "validity", milliseconds(1000),
                                      milliseconds(3600000), settings.key_validity);
  settings.key_retention = reader.Time(kSection, "retention", milliseconds(1000),
                                       milliseconds(7200000), settings.key_retention);
  // If a key were removed while it is still valid, its call could be executed twice.
  if (settings.key_retention <= settings.key_validity) {
    reader.AddProblem(kSection, "retention", "longer than validity");
  }
  settings.key_capacity = static_cast<std::size_t>(reader.Integer(
      kSection, "capacity", 1, 10000000, static_cast<std::int64_t>(settings.key_capacity)));
  settings.key_max_bytes =
      static_cast<std::size_t>(reader.Integer(kSection, "max_bytes", 1024, kMaxMemoryBytes,
                                              static_cast<std::int64_t>(settings.key_max_bytes)));
}

}  // namespace

EntryVmSettingsResult ParseEntryVmSettings(const settings::IniDocument& document) {
  SettingsReader reader(document);
  EntryVmSettingsResult result;
  ReadVm(reader, result.settings);
  ReadAddresses(reader, result.settings.addresses);
  ReadPlatformAndPeers(reader, result.settings);
  ReadCallers(reader, result.settings);
  ReadLimitsAndRouting(reader, result.settings);
  ReadIdempotencyKeys(reader, result.settings);
  result.settings.drain_limit = reader.Time("stop", "drain_limit", milliseconds(100),
                                            milliseconds(600000), result.settings.drain_limit);
  result.settings.timeline_capacity = static_cast<std::size_t>(
      reader.Integer("timeline", "capacity", 1, 1000000,
                     static_cast<std::int64_t>(result.settings.timeline_capacity)));
  result.problems = reader.Finish();
  return result;
}

}  // namespace qh::vm_settings
