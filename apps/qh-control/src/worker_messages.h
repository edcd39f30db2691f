#pragma once

#include <vector>

#include "processes.capnp.h"
#include "quetzalhinge/platform/vm_list.h"

namespace qh::control {

/** Writes the workers to a list that has been initialized with the same size. */
void WriteWorkers(const std::vector<platform::VmRecord>& workers,
                  capnp::List<rpc::wire::Worker>::Builder list);

/** Reads the workers from a message. */
std::vector<platform::VmRecord> ReadWorkers(capnp::List<rpc::wire::Worker>::Reader list);

}  // namespace qh::control
