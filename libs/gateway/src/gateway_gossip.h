#pragma once

#include "quetzalhinge/gateway/gateway_settings.h"
#include "quetzalhinge/gossip/gossip_task.h"

namespace qh::gateway {

/** Returns the options of the gossip between VMs of the shared platform. */
gossip::GossipTaskOptions GossipOptionsOf(const GatewaySettings& settings);

}  // namespace qh::gateway
