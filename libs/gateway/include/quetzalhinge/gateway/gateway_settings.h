#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"
#include "quetzalhinge/settings/process_limits.h"

namespace qh::gateway {

/** Settings of qh-gateway with their defaults. ParseGatewaySettings() checks the ranges. */
struct GatewaySettings {
  /** Unique name of the VM. */
  std::string name;
  std::string zone;
  std::string region;

  /** Listens for callers' requests. */
  IpEndpoint callers;
  /** Listens for readiness checks of the platform. */
  IpEndpoint ready;
  /** Listens for callers' address requests. */
  IpEndpoint addresses;
  /** Listens for gossip over UDP, and for HTTP from other VMs and metrics clients over TCP. */
  IpEndpoint internal;

  /** Address of the table store. */
  IpEndpoint store;
  /** Time within which a change in the store takes effect at this VM. */
  std::chrono::milliseconds apply_within{2000};

  /** Key that authenticates gossip; at least 16 characters, the same on all VMs. */
  std::string deployment_key;
  /** Interval between two gossip rounds of a VM. */
  std::chrono::milliseconds gossip_interval{300};

  /** Maximum retries to a worker, as a share of the requests for its service. */
  double retry_share = 0.2;
  /** Number of retries allowed beyond the share in any window, over all VMs. */
  double retry_slack = 10;

  /** Time after which no VM may still return the address of a VM that is off. */
  std::chrono::milliseconds catch_up{6000};
  /** Maximum time for which callers may cache an address response. */
  std::chrono::milliseconds max_address_ttl{5000};
  /** Time from the stop signal until the process is killed; it exits on its own before then. */
  std::chrono::milliseconds stop_grace{6000};
  /** Time for which a worker may still receive requests after its planned leave is known. */
  std::chrono::milliseconds worker_drain{2000};

  /** Memory and descriptors of this process. */
  settings::ProcessLimits process_limits;
};

/** The parsed settings and all problems found in them. */
struct GatewaySettingsResult {
  GatewaySettings settings;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses the settings and checks their ranges. */
GatewaySettingsResult ParseGatewaySettings(const settings::IniDocument& document);

}  // namespace qh::gateway
