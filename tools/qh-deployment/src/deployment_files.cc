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

struct AddressKey {
  const char* key;
  int port;
};
constexpr std::array<AddressKey, 6> kAddresses{{{"callers", kCallersPort},
                                                {"entry_admin", kEntryAdminPort},
                                                {"operators", kOperatorsPort},
                                                {"gossip", kGossipPort},
                                                {"control_rpc", kControlRpcPort},
                                                {"entry_rpc", kEntryRpcPort}}};

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

/** The first VM of each zone, so that a VM finds its peers while the platform is down. */
std::string SeedsOf(const Deployment& deployment) {
  std::vector<std::string> seeds;
  for (const Zone& zone : deployment.zones) {
    seeds.push_back(zone.network + ".1:" + std::to_string(kGossipPort));
  }
  return Join(seeds);
}

std::string VmFile(const Deployment& deployment, const EntryVm& vm, std::size_t vm_count) {
  std::ostringstream text;
  text << "[vm]\nname = " << vm.name << "\nzone = " << vm.zone << "\nslot = " << vm.slot
       << "\nvm_count = " << vm_count << "\n\n[addresses]\n";
  for (const AddressKey& address : kAddresses) {
    text << address.key << " = " << vm.ip << ":" << address.port << "\n";
  }
  text << "\n[platform]\nendpoint = " << ToString(deployment.platform)
       << "\n\n[peers]\nseeds = " << SeedsOf(deployment)
       << "\n\n[keys]\ndeployment_key = " << deployment.deployment_key
       << "\noperator_token = " << deployment.operator_token << "\n";
  return text.str();
}

std::string PlatformFile(const Deployment& deployment) {
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

std::string WorkersFile(const Deployment& deployment) {
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

std::string ContractFile(const Deployment& deployment, const Customer& customer) {
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
           << "\nidempotent = " << Join(service.idempotent) << "\n";
    }
  }
  return text.str();
}

std::string TopologyFile(const Deployment& deployment) {
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

std::vector<GeneratedFile> MakeFiles(const Deployment& deployment) {
  std::vector<GeneratedFile> files;
  const std::vector<EntryVm> vms = EntryVmsOf(deployment);
  for (const EntryVm& vm : vms) {
    files.push_back({"vm-" + vm.name + ".ini", VmFile(deployment, vm, vms.size())});
  }
  for (const Customer& customer : deployment.customers) {
    files.push_back({"contracts/" + customer.name + ".ini", ContractFile(deployment, customer)});
  }
  files.push_back({"platform.ini", PlatformFile(deployment)});
  files.push_back({"workers.ini", WorkersFile(deployment)});
  files.push_back({"topology.ini", TopologyFile(deployment)});
  files.push_back({"operator.token", deployment.operator_token + "\n"});
  return files;
}

}  // namespace qh::deployment
