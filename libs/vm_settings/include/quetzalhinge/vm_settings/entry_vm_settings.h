#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::vm_settings {

/** How a worker is chosen for a call. All but kLoadAware are baselines to compare with. */
enum class RoutingPolicy { kLoadAware, kRandom, kRoundRobin, kLeastRequests };

/** Names of the routing policies in settings. */
inline constexpr EnumTable<RoutingPolicy, 4> kRoutingPolicyNames{{{
    {RoutingPolicy::kLoadAware, "load_aware"},
    {RoutingPolicy::kRandom, "random"},
    {RoutingPolicy::kRoundRobin, "round_robin"},
    {RoutingPolicy::kLeastRequests, "least_requests"},
}}};

/** The addresses of one entry VM, section [addresses]. */
struct EntryVmAddresses {
  /** HTTP, for callers (qh-entry). */
  IpEndpoint callers;
  /** HTTP, metrics and time line of qh-entry. */
  IpEndpoint entry_admin;
  /** HTTP, for operators (qh-control). */
  IpEndpoint operators;
  /** UDP, gossip between entry VMs (qh-control). */
  IpEndpoint gossip;
  /** TCP, Cap'n Proto RPC of qh-control: its own qh-entry and other VMs' qh-control. */
  IpEndpoint control_rpc;
  /** TCP, Cap'n Proto RPC of qh-entry: other VMs' qh-entry. */
  IpEndpoint entry_rpc;
};

/**
 * What an entry VM learns at its start. qh-entry and qh-control of one VM read the same file.
 * Filled by ParseEntryVmSettings().
 */
struct EntryVmSettings {
  /** [vm] name: unique in the deployment, letters, digits and '-'. */
  std::string name;
  /** [vm] zone: availability zone. */
  std::string zone;
  /** [vm] slot: number of this VM, 0 to vm_count - 1; a replacement takes its predecessor's. */
  int slot = 0;
  /** [vm] vm_count: number of entry VMs in the deployment. */
  int vm_count = 1;

  EntryVmAddresses addresses;

  /** [platform] endpoint: HTTP address of the platform's services. */
  IpEndpoint platform;
  /** [platform] request_timeout, default 1 s. */
  std::chrono::milliseconds platform_timeout{1000};
  /** [platform] list_interval: how often the VM list is read, default 1 s. */
  std::chrono::milliseconds vm_list_interval{1000};

  /** [peers] seeds: gossip addresses of other entry VMs, used beside the platform's list. */
  std::vector<IpEndpoint> seeds;

  /** [keys] deployment_key: authenticates messages between entry VMs; at least 16 characters. */
  std::string deployment_key;
  /** [keys] operator_token: bearer token of operators; at least 16 characters. */
  std::string operator_token;

  /** [callers] address_ttl: how long callers keep an address answer, default 5 s. */
  std::chrono::milliseconds address_ttl{5000};
  /** [callers] request_timeout: how long a caller may take to send a request, default 10 s. */
  std::chrono::milliseconds caller_timeout{10000};
  /** [callers] max_body_bytes: upper bound over all contracts, default 1 MiB. */
  std::size_t max_body_bytes = 1024 * 1024;

  /** [contracts] confirmation_limit: how long a VM serves without confirmation, default 4 s. */
  std::chrono::milliseconds confirmation_limit{4000};

  /** [limits] home_slots: VMs over which a contract's rate is divided, default 12. */
  int home_slots = 12;
  /** [limits] queue_length: requests that wait for a worker, per service, default 256. */
  int queue_length = 256;

  /** [routing] policy, default load_aware. */
  RoutingPolicy policy = RoutingPolicy::kLoadAware;
  /** [routing] connections_per_worker: of this VM to one worker, default 14. */
  int connections_per_worker = 14;
  /** [routing] silent_after: a call without any byte of response for this long, which may be
   * attempted again, is given up; default 2 s. */
  std::chrono::milliseconds silent_after{2000};

  /** [probes] budget: health probes a second per worker over all entry VMs, default 1. */
  double probe_budget = 1.0;

  /** [keys_at_most_once] validity: how long an issued key may be started, default 120 s. */
  std::chrono::milliseconds key_validity{120000};
  /** [keys_at_most_once] retention: how long outcomes are kept, default 600 s. */
  std::chrono::milliseconds key_retention{600000};
  /** [keys_at_most_once] capacity: number of kept keys, default 200,000. */
  std::size_t key_capacity = 200000;
  /** [keys_at_most_once] max_bytes: memory for kept outcomes, default 32 MiB. */
  std::size_t key_max_bytes = 32 * 1024 * 1024;

  /** [stop] drain_limit: longest graceful shutdown, default 60 s. */
  std::chrono::milliseconds drain_limit{60000};

  /** [timeline] capacity: events kept by each process, default 20,000. */
  std::size_t timeline_capacity = 20000;
};

/** Settings, and every problem found in them. Valid only if there are no problems. */
struct EntryVmSettingsResult {
  EntryVmSettings settings;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and checks the settings of an entry VM. */
EntryVmSettingsResult ParseEntryVmSettings(const settings::IniDocument& document);

}  // namespace qh::vm_settings
