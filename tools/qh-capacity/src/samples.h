#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/contract/contract_change.h"
#include "quetzalhinge/routing/worker.h"

namespace qh::capacity {

/** Number of entry VMs for measurements that depend on it. */
inline constexpr int kVmCount = 300;

/** Workers per service at the design size: 4,100 workers in 250 services, rounded. */
inline constexpr std::size_t kWorkersPerService = 16;

/** Returns the name of the service with number `index`. */
std::string ServiceName(std::size_t index);

/** Returns `count` workers with kWorkersPerService workers in each service. */
std::vector<routing::WorkerInfo> SampleWorkers(std::size_t count);

/** Returns the name of the customer with number `index`. */
std::string CustomerName(std::size_t index);

/** Returns a contract with three services, each with two idempotent routes. */
std::shared_ptr<const contract::Contract> SampleContract(std::size_t customer);

/** Returns the contract change of `revision` that sets SampleContract(customer). */
contract::ContractChange SampleChange(contract::Revision revision, std::size_t customer);

/** Returns a snapshot with one contract for each of `customers` customers. */
contract::ContractSnapshot SampleSnapshot(std::size_t customers);

}  // namespace qh::capacity
