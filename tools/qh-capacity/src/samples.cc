#include "samples.h"

#include <utility>

namespace qh::capacity {
namespace {

constexpr std::size_t kServicesPerContract = 3;
constexpr std::size_t kServices = 250;
constexpr std::size_t kZones = 22;
constexpr std::uint16_t kWorkerPort = 8080;

}  // namespace

std::string ServiceName(std::size_t index) { return "service-" + std::to_string(index); }

std::string CustomerName(std::size_t index) { return "customer-" + std::to_string(index); }

std::vector<routing::WorkerInfo> SampleWorkers(std::size_t count) {
  std::vector<routing::WorkerInfo> workers;
  for (std::size_t i = 0; i < count; ++i) {
    routing::WorkerInfo info;
    info.endpoint = {"10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250),
                     kWorkerPort};
    info.id = ToString(info.endpoint);
    info.service = ServiceName(i / kWorkersPerService);
    info.zone = "zone-" + std::to_string(i % kZones);
    workers.push_back(std::move(info));
  }
  return workers;
}

std::shared_ptr<const contract::Contract> SampleContract(std::size_t customer) {
  auto contract = std::make_shared<contract::Contract>();
  contract->customer = CustomerName(customer);
  contract->limits.requests_per_second = 1000;
  contract->limits.burst = 200;
  contract->limits.requests_in_progress = 100;
  for (std::size_t i = 0; i < kServicesPerContract; ++i) {
    contract::ServiceTerms terms;
    terms.name = ServiceName((customer + i) % kServices);
    terms.deadline = std::chrono::milliseconds(2000);
    terms.idempotent = {{"GET", "/"}, {"HEAD", "/"}};
    contract->services.push_back(std::move(terms));
  }
  return contract;
}

contract::ContractChange SampleChange(contract::Revision revision, std::size_t customer) {
  contract::ContractChange change;
  change.revision = revision;
  change.version = 1;
  change.customer = CustomerName(customer);
  change.operation_id = "4f1d0a77b3c95e20-" + std::to_string(revision);
  change.author = "operator";
  change.accepted_us = 1'796'378'000'000'000;
  change.contract = SampleContract(customer);
  return change;
}

contract::ContractSnapshot SampleSnapshot(std::size_t customers) {
  contract::ContractSnapshot snapshot;
  snapshot.revision = customers;
  for (std::size_t i = 0; i < customers; ++i) {
    snapshot.contracts.push_back(SampleChange(i + 1, i));
  }
  return snapshot;
}

}  // namespace qh::capacity
