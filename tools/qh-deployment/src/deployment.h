#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/settings/ini_document.h"

namespace qh::deployment {

/** Section [zone <name>]. */
struct Zone {
  std::string name;
  /** Prefix of the names of the entry VMs in this zone. */
  std::string prefix;
  /** First three octets of the IPv4 addresses in this zone, for example "127.77.1". */
  std::string network;
  int entry_vms = 0;
};

/** Section [service <name>]. */
struct Service {
  std::string name;
  int workers = 0;
  /** Requests that a worker runs at the same time. */
  int slots = 6;
  /** Maximum number of requests that wait in the queue of a worker. */
  int queue_length = 0;
  std::chrono::milliseconds deadline{5000};
  /** Idempotent routes as "METHOD /path-prefix", in the format of contracts. */
  std::vector<std::string> idempotent;
};

/** Section [route <service> <path-prefix>]: simulated service times of the stand-in workers. */
struct Route {
  /** Name of the section without "route ", that is "<service> <path-prefix>". */
  std::string name;
  double median_ms = 5;
  double sigma = 0.3;
  double straggler_share = 0;
  double straggler_ms = 0;
};

/** Section [customer <name>]. */
struct Customer {
  std::string name;
  int requests_per_second = 0;
  int burst = 0;
  int requests_in_progress = 0;
  double retry_share = 0.1;
  std::string priority_class;
  std::vector<std::string> services;
};

/** A deployment as described by its INI file. */
struct Deployment {
  std::string name;
  IpEndpoint platform;
  std::chrono::milliseconds platform_list_lag{0};
  IpEndpoint worker_control;
  std::string deployment_key;
  std::string operator_token;
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<Customer> customers;
};

/** An entry VM with its zone, IP address and slot. */
struct EntryVm {
  std::string name;
  std::string zone;
  std::string ip;
  int slot = 0;
};

/** A worker with its service, zone and listening address. */
struct Worker {
  std::string name;
  std::string service;
  std::string zone;
  IpEndpoint listen;
};

/** A parsed deployment. It is valid only if its file has no problems. */
struct DeploymentResult {
  Deployment deployment;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and validates a deployment file. */
DeploymentResult ParseDeployment(const settings::IniDocument& document);

/** Returns the entry VMs in the order of their slots. */
std::vector<EntryVm> EntryVmsOf(const Deployment& deployment);

/** Returns the workers. The workers of each service are distributed round-robin over the zones. */
std::vector<Worker> WorkersOf(const Deployment& deployment);

}  // namespace qh::deployment
