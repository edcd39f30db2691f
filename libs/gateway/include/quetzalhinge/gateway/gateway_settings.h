#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::gateway {

/** Settings of qh-gateway. Defaults stand here; the parser checks ranges. */
struct GatewaySettings {
  /** Unique name of the VM. */
  std::string name;
  std::string zone;
  std::string region;

  /** Callers' requests. */
  IpEndpoint callers;
  /** The platform's question whether this VM is ready. */
  IpEndpoint ready;
  /** Callers that ask where to connect. */
  IpEndpoint addresses;
  /** Gossip over UDP, and HTTP between VMs and for metrics over TCP. */
  IpEndpoint internal;

  IpEndpoint store;

  /** Authenticates gossip between VMs; at least 16 characters, the same on all VMs. */
  std::string deployment_key;
  /** Time between two gossip rounds of a VM. */
  std::chrono::milliseconds gossip_interval{300};

  /** Most repeats that a worker may get, as a share of the requests for its service. */
  double retry_share = 0.2;
  /** Repeats beyond the share within `retry_window`, over all VMs. */
  double retry_slack = 10;

  /** A VM that is off must have left the address answers of all VMs by then. */
  std::chrono::milliseconds catch_up{6000};
  /** Longest time for which callers may keep an address answer. */
  std::chrono::milliseconds max_address_ttl{5000};
  /** Time between the signal to stop and the end by force. */
  std::chrono::milliseconds stop_grace{6000};
  /** How long after a leave is known a worker may still get requests. */
  std::chrono::milliseconds worker_drain{2000};
};

/** The settings, and every problem found. */
struct GatewaySettingsResult {
  GatewaySettings settings;
  std::vector<settings::SettingsProblem> problems;
};

/** Reads and checks the settings. */
GatewaySettingsResult ParseGatewaySettings(const settings::IniDocument& document);

}  // namespace qh::gateway
