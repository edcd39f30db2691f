#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "quetzalhinge/contract/contract_change.h"
#include "quetzalhinge/routing/worker.h"

namespace qh::capacity {

/** Number of entry VMs for which the tool measures what depends on it. */
inline constexpr int kVmCount = 300;

/** Workers per service at the design size: 4,100 in 250 services, rounded. */
inline constexpr std::size_t kWorkersPerService = 16;

/** Returns the name of worker `index`'s service. */
std::string ServiceName(std::size_t index);

/** Returns `count` workers, kWorkersPerService in each service. */
std::vector<routing::WorkerInfo> SampleWorkers(std::size_t count);

/** Returns the name of customer `index`. */
std::string CustomerName(std::size_t index);

/** Returns a contract with three services and two idempotent routes in each. */
std::shared_ptr<const contract::Contract> SampleContract(std::size_t customer);

/** Returns the change that puts SampleContract(customer) in force at `revision`. */
contract::ContractChange SampleChange(contract::Revision revision, std::size_t customer);

/** Returns a snapshot with `customers` contracts. */
contract::ContractSnapshot SampleSnapshot(std::size_t customers);

}  // namespace qh::capacity
