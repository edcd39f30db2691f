#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "quetzalhinge/base/enum_table.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"
#include "quetzalhinge/settings/process_limits.h"

namespace qh::vm_settings {

/** How a worker is selected for a call. Policies other than kLoadAware serve as baselines. */
enum class RoutingPolicy { kLoadAware, kRandom, kRoundRobin, kLeastRequests };

/** Names of the routing policies in settings files. */
inline constexpr EnumTable<RoutingPolicy, 4> kRoutingPolicyNames{{{
    {RoutingPolicy::kLoadAware, "load_aware"},
    {RoutingPolicy::kRandom, "random"},
    {RoutingPolicy::kRoundRobin, "round_robin"},
    {RoutingPolicy::kLeastRequests, "least_requests"},
}}};

/** The addresses on which an entry VM listens, section [addresses]. */
struct EntryVmAddresses {
  /** HTTP of qh-entry for callers. */
  IpEndpoint callers;
  /** HTTP of qh-entry for metrics and the timeline. */
  IpEndpoint entry_admin;
  /** HTTP of qh-control for operators. */
  IpEndpoint operators;
  /** UDP of qh-control for gossip between entry VMs. */
  IpEndpoint gossip;
  /** Cap'n Proto RPC (TCP) of qh-control, for qh-entry of this VM and qh-control of other VMs. */
  IpEndpoint control_rpc;
  /** Cap'n Proto RPC (TCP) of qh-entry, for qh-entry of other VMs. */
  IpEndpoint entry_rpc;
};

/**
 * Settings of an entry VM, read at start by ParseEntryVmSettings(). qh-entry and qh-control of one
 * VM read the same file.
 */
struct EntryVmSettings {
  /** [vm] name: unique in the deployment; letters, digits and '-'. */
  std::string name;
  /** [vm] zone: availability zone. */
  std::string zone;
  /** [vm] slot: number of this VM, 0 to vm_count - 1. A replacement VM takes over the slot. */
  int slot = 0;
  /** [vm] vm_count: number of entry VMs in the deployment. */
  int vm_count = 1;

  EntryVmAddresses addresses;

  /** [platform] endpoint: HTTP address of the platform services. */
  IpEndpoint platform;
  /** [platform] request_timeout: time-out of requests to the platform, default 1 s. */
  std::chrono::milliseconds platform_timeout{1000};
  /** [platform] list_interval: interval between reads of the VM list, default 1 s. */
  std::chrono::milliseconds vm_list_interval{1000};

  /** [peers] seeds: gossip addresses of other entry VMs, in addition to the platform's VM list. */
  std::vector<IpEndpoint> seeds;

  /** [keys] deployment_key: authenticates messages between entry VMs; at least 16 characters. */
  std::string deployment_key;
  /** [keys] operator_token: bearer token of operators; at least 16 characters. */
  std::string operator_token;

  /** [callers] address_ttl: how long callers may cache an address response, default 5 s. */
  std::chrono::milliseconds address_ttl{5000};
  /**
   * [callers] request_timeout: time-out for reading a request head from a caller, between two reads
   * of a request body, and of an idle connection; default 10 s.
   */
  std::chrono::milliseconds caller_timeout{10000};
  /** [callers] max_body_bytes: largest request body under any contract, default 1 MiB. */
  std::size_t max_body_bytes = 1024 * 1024;

  /**
   * [contracts] confirmation_limit: how long a VM serves calls without confirmation of its
   * contracts, default 4 s.
   */
  std::chrono::milliseconds confirmation_limit{4000};

  /** [limits] home_slots: number of VMs that share the rate of a contract, default 12. */
  int home_slots = 12;
  /** [limits] queue_length: maximum number of queued requests per service, default 256. */
  int queue_length = 256;
  /**
   * [limits] memory_mb and max_descriptors: limits of each of the two processes, default 260 MiB
   * and 4,100.
   */
  settings::ProcessLimits process_limits;

  /** [routing] policy: how workers are selected, default load_aware. */
  RoutingPolicy policy = RoutingPolicy::kLoadAware;
  /** [routing] connections_per_worker: maximum from this VM to one worker, default 14. */
  int connections_per_worker = 14;
  /**
   * [routing] silent_after: time-out of an attempt, from its start to the complete response, if the
   * call may be retried; default 2 s.
   */
  std::chrono::milliseconds silent_after{2000};

  /** [probes] budget: health probes per second and worker, summed over all entry VMs, default 1. */
  double probe_budget = 1.0;

  /** [keys_at_most_once] validity: how long a call may start with an issued key, default 120 s. */
  std::chrono::milliseconds key_validity{120000};
  /** [keys_at_most_once] retention: how long outcomes are stored, default 600 s. */
  std::chrono::milliseconds key_retention{600000};
  /** [keys_at_most_once] capacity: maximum number of stored keys, default 200,000. */
  std::size_t key_capacity = 200000;
  /** [keys_at_most_once] max_bytes: memory for stored outcomes, default 32 MiB. */
  std::size_t key_max_bytes = 32 * 1024 * 1024;

  /** [stop] drain_limit: maximum duration of a graceful shutdown, default 60 s. */
  std::chrono::milliseconds drain_limit{60000};

  /** [timeline] capacity: maximum number of events stored by each process, default 20,000. */
  std::size_t timeline_capacity = 20000;
};

/** Parsed settings and all problems found. The settings are valid only if there are none. */
struct EntryVmSettingsResult {
  EntryVmSettings settings;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and validates the settings of an entry VM. */
EntryVmSettingsResult ParseEntryVmSettings(const settings::IniDocument& document);

}  // namespace qh::vm_settings
