#include "deployment.h"

#include <algorithm>

#include "quetzalhinge/settings/settings_reader.h"

namespace qh::deployment {
namespace {

using settings::SettingsReader;
using std::chrono::milliseconds;

constexpr int kMaxVmsPerZone = 100;
constexpr int kMaxWorkersPerService = 1000;
constexpr int kMaxRate = 10000000;
/** Last octet of the IP address of the first worker in a zone. Entry VMs use lower octets. */
constexpr int kFirstWorkerOctet = 101;
constexpr int kFirstWorkerPort = 9100;
/** Number of workers of a zone on one port. Each has its own IP address. */
constexpr int kWorkersPerPort = 150;

Zone ReadZone(SettingsReader& reader, const std::string& name) {
  const std::string section = "zone " + name;
  Zone zone;
  zone.name = name;
  zone.prefix = reader.Text(section, "prefix");
  zone.network = reader.Text(section, "network");
  if (!IsIpv4Address(zone.network + ".1")) {
    reader.AddProblem(section, "network",
                      "the first three octets of an IPv4 address, for example 127.77.1");
  }
  zone.entry_vms = static_cast<int>(reader.Integer(section, "entry_vms", 1, kMaxVmsPerZone));
  return zone;
}

Service ReadService(SettingsReader& reader, const std::string& name) {
  const std::string section = "service " + name;
  Service service;
  service.name = name;
  service.workers = static_cast<int>(reader.Integer(section, "workers", 1, kMaxWorkersPerService));
  service.slots = static_cast<int>(reader.Integer(section, "slots", 1, 10000, service.slots));
  service.queue_length =
      static_cast<int>(reader.Integer(section, "queue_length", 0, 100000, service.queue_length));
  service.deadline =
      reader.Time(section, "deadline", milliseconds(1), milliseconds(600000), service.deadline);
  service.idempotent = reader.List(section, "idempotent");
  return service;
}

Route ReadRoute(SettingsReader& reader, const std::string& name) {
  const std::string section = "route " + name;
  Route route;
  route.name = name;
  route.median_ms = reader.Number(section, "median_ms", 0.001, 600000, route.median_ms);
  route.sigma = reader.Number(section, "sigma", 0, 5, route.sigma);
  route.straggler_share = reader.Number(section, "straggler_share", 0, 1, 0);
  route.straggler_ms = reader.Number(section, "straggler_ms", 0, 600000, 0);
  return route;
}

Customer ReadCustomer(SettingsReader& reader, const std::string& name,
                      const std::vector<Service>& services) {
  const std::string section = "customer " + name;
  Customer customer;
  customer.name = name;
  customer.requests_per_second =
      static_cast<int>(reader.Integer(section, "requests_per_second", 1, kMaxRate));
  customer.burst = static_cast<int>(reader.Integer(section, "burst", 1, kMaxRate));
  customer.requests_in_progress =
      static_cast<int>(reader.Integer(section, "requests_in_progress", 1, kMaxRate));
  customer.retry_share = reader.Number(section, "retry_share", 0, 1, customer.retry_share);
  customer.priority_class = reader.Text(section, "class", "normal");
  customer.services = reader.List(section, "services");
  for (const std::string& service_name : customer.services) {
    const bool exists = std::any_of(services.begin(), services.end(), [&](const Service& service) {
      return service.name == service_name;
    });
    if (!exists) {
      reader.AddProblem(section, "services", "names of sections [service <name>]");
    }
  }
  return customer;
}

}  // namespace

DeploymentResult ParseDeployment(const settings::IniDocument& document) {
  SettingsReader reader(document);
  DeploymentResult result;
  Deployment& deployment = result.deployment;
  deployment.name = reader.Text("deployment", "name");
  deployment.platform = reader.Endpoint("deployment", "platform");
  deployment.platform_list_lag = reader.Time("deployment", "platform_list_lag", milliseconds(0),
                                             milliseconds(600000), milliseconds(0));
  deployment.worker_control = reader.Endpoint("deployment", "worker_control");
  deployment.deployment_key = reader.Text("deployment", "deployment_key");
  deployment.operator_token = reader.Text("deployment", "operator_token");
  for (const std::string& name : reader.SectionsWithPrefix("zone ")) {
    deployment.zones.push_back(ReadZone(reader, name));
  }
  for (const std::string& name : reader.SectionsWithPrefix("service ")) {
    deployment.services.push_back(ReadService(reader, name));
  }
  for (const std::string& name : reader.SectionsWithPrefix("route ")) {
    deployment.routes.push_back(ReadRoute(reader, name));
  }
  for (const std::string& name : reader.SectionsWithPrefix("customer ")) {
    deployment.customers.push_back(ReadCustomer(reader, name, deployment.services));
  }
  if (deployment.zones.empty()) {
    reader.AddProblem("zone", "", "at least one section [zone <name>]");
  }
  result.problems = reader.Finish();
  return result;
}

std::vector<EntryVm> EntryVmsOf(const Deployment& deployment) {
  std::vector<EntryVm> vms;
  for (const Zone& zone : deployment.zones) {
    for (int i = 1; i <= zone.entry_vms; ++i) {
      const std::string number = std::to_string(i);
      vms.push_back({zone.prefix + "-" + number, zone.name, zone.network + "." + number,
                     static_cast<int>(vms.size())});
    }
  }
  return vms;
}

std::vector<Worker> WorkersOf(const Deployment& deployment) {
  std::vector<Worker> workers;
  std::vector<int> workers_in_zone(deployment.zones.size(), 0);
  for (const Service& service : deployment.services) {
    for (int i = 0; i < service.workers; ++i) {
      const std::size_t zone_index = static_cast<std::size_t>(i) % deployment.zones.size();
      const Zone& zone = deployment.zones[zone_index];
      const int index_in_zone = workers_in_zone[zone_index]++;
      const IpEndpoint listen{
          zone.network + "." + std::to_string(kFirstWorkerOctet + index_in_zone % kWorkersPerPort),
          static_cast<std::uint16_t>(kFirstWorkerPort + index_in_zone / kWorkersPerPort)};
      workers.push_back(
          {service.name + "-" + std::to_string(i + 1), service.name, zone.name, listen});
    }
  }
  return workers;
}

}  // namespace qh::deployment
