#pragma once

#include <vector>

#include "processes.capnp.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::control {

/** Fills a list that has as many places as there are workers. */
void WriteWorkers(const std::vector<platform::VmRecord>& workers,
                  capnp::List<rpc::wire::Worker>::Builder list);

std::vector<platform::VmRecord> ReadWorkers(capnp::List<rpc::wire::Worker>::Reader list);

}  // namespace qh::control
