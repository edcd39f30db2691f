#include "deployment_files.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace qh::deployment {
namespace {

constexpr int kCallersPort = 8000;
constexpr int kEntryAdminPort = 8001;
constexpr int kOperatorsPort = 8002;
constexpr int kGossipPort = 8003;
constexpr int kControlRpcPort = 8004;
constexpr int kEntryRpcPort = 8005;

/** A key of section [addresses] with the port that all entry VMs use for it. */
struct AddressSetting {
  const char* key;
  int port;
};
constexpr std::array<AddressSetting, 6> kAddressSettings{{{"callers", kCallersPort},
                                                          {"entry_admin", kEntryAdminPort},
                                                          {"operators", kOperatorsPort},
                                                          {"gossip", kGossipPort},
                                                          {"control_rpc", kControlRpcPort},
                                                          {"entry_rpc", kEntryRpcPort}}};

std::string JoinWithCommas(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

/**
 * Returns the gossip endpoints of the first VM of each zone. They let a VM find its peers while the
 * platform is down.
 */
std::string GossipSeeds(const Deployment& deployment) {
  std::vector<std::string> seeds;
  for (const Zone& zone : deployment.zones) {
    seeds.push_back(zone.network + ".1:" + std::to_string(kGossipPort));
  }
  return JoinWithCommas(seeds);
}

std::string FormatVmSettings(const Deployment& deployment, const EntryVm& vm,
                             std::size_t vm_count) {
  std::ostringstream text;
  text << "[vm]\nname = " << vm.name << "\nzone = " << vm.zone << "\nslot = " << vm.slot
       << "\nvm_count = " << vm_count << "\n\n[addresses]\n";
  for (const AddressSetting& address : kAddressSettings) {
    text << address.key << " = " << vm.ip << ":" << address.port << "\n";
  }
  text << "\n[platform]\nendpoint = " << ToString(deployment.platform)
       << "\n\n[peers]\nseeds = " << GossipSeeds(deployment)
       << "\n\n[keys]\ndeployment_key = " << deployment.deployment_key
       << "\noperator_token = " << deployment.operator_token << "\n";
  return text.str();
}

std::string FormatPlatformSettings(const Deployment& deployment) {
  std::ostringstream text;
  text << "[platform]\nlisten = " << ToString(deployment.platform)
       << "\nlist_lag = " << deployment.platform_list_lag.count() << " ms\n";
  for (const EntryVm& vm : EntryVmsOf(deployment)) {
    text << "\n[vm " << vm.name << "]\nrole = entry\nzone = " << vm.zone << "\nip = " << vm.ip
         << "\nport = " << kCallersPort << "\ngossip_port = " << kGossipPort
         << "\ncontrol_rpc_port = " << kControlRpcPort << "\nentry_rpc_port = " << kEntryRpcPort
         << "\n";
  }
  for (const Worker& worker : WorkersOf(deployment)) {
    text << "\n[vm " << worker.name << "]\nrole = worker\nservice = " << worker.service
         << "\nzone = " << worker.zone << "\nip = " << worker.listen.ip
         << "\nport = " << worker.listen.port << "\n";
  }
  return text.str();
}

std::string FormatWorkerSettings(const Deployment& deployment) {
  std::ostringstream text;
  text << "[process]\ncontrol = " << ToString(deployment.worker_control) << "\n";
  for (const Worker& worker : WorkersOf(deployment)) {
    const auto service =
        std::find_if(deployment.services.begin(), deployment.services.end(),
                     [&](const Service& candidate) { return candidate.name == worker.service; });
    text << "\n[worker " << worker.name << "]\nservice = " << worker.service
         << "\nlisten = " << ToString(worker.listen) << "\nslots = " << service->slots
         << "\nqueue_length = " << service->queue_length << "\n";
  }
  for (const Route& route : deployment.routes) {
    text << "\n[route " << route.name << "]\nmedian_ms = " << route.median_ms
         << "\nsigma = " << route.sigma << "\nstraggler_share = " << route.straggler_share
         << "\nstraggler_ms = " << route.straggler_ms << "\n";
  }
  return text.str();
}

std::string FormatContract(const Deployment& deployment, const Customer& customer) {
  std::ostringstream text;
  text << "[contract]\ncustomer = " << customer.name
       << "\n\n[limits]\nrequests_per_second = " << customer.requests_per_second
       << "\nburst = " << customer.burst
       << "\nrequests_in_progress = " << customer.requests_in_progress
       << "\nretry_share = " << customer.retry_share
       << "\n\n[priority]\nclass = " << customer.priority_class << "\n";
  for (const Service& service : deployment.services) {
    if (std::find(customer.services.begin(), customer.services.end(), service.name) !=
        customer.services.end()) {
      text << "\n[service " << service.name << "]\ndeadline_ms = " << service.deadline.count()
           << "\nidempotent = " << JoinWithCommas(service.idempotent) << "\n";
    }
  }
  return text.str();
}

std::string FormatTopology(const Deployment& deployment) {
  std::ostringstream text;
  text << "[topology]\nworker_control = " << ToString(deployment.worker_control) << "\n";
  for (const EntryVm& vm : EntryVmsOf(deployment)) {
    text << "\n[entry " << vm.name << "]\ncallers = " << vm.ip << ":" << kCallersPort << "\n";
  }
  for (const Worker& worker : WorkersOf(deployment)) {
    text << "\n[worker " << worker.name << "]\nservice = " << worker.service
         << "\nlisten = " << ToString(worker.listen) << "\n";
  }
  return text.str();
}

}  // namespace

std::vector<GeneratedFile> GenerateFiles(const Deployment& deployment) {
  std::vector<GeneratedFile> files;
  const std::vector<EntryVm> vms = EntryVmsOf(deployment);
  for (const EntryVm& vm : vms) {
    files.push_back({"vm-" + vm.name + ".ini", FormatVmSettings(deployment, vm, vms.size())});
  }
  for (const Customer& customer : deployment.customers) {
    files.push_back({"contracts/" + customer.name + ".ini", FormatContract(deployment, customer)});
  }
  files.push_back({"platform.ini", FormatPlatformSettings(deployment)});
  files.push_back({"workers.ini", FormatWorkerSettings(deployment)});
  files.push_back({"topology.ini", FormatTopology(deployment)});
  files.push_back({"operator.token", deployment.operator_token + "\n"});
  return files;
}

}  // namespace qh::deployment
