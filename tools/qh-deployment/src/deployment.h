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
  /** Start of the names of its entry VMs. */
  std::string prefix;
  /** First three numbers of the addresses in this zone, for example "127.77.1". */
  std::string network;
  int entry_vms = 0;
};

/** Section [service <name>]. */
struct Service {
  std::string name;
  int workers = 0;
  int slots = 6;
  /** Requests that wait at a worker. */
  int queue_length = 0;
  std::chrono::milliseconds deadline{5000};
  /** List of "METHOD /path-prefix", as in contracts. */
  std::vector<std::string> idempotent;
};

/** Section [route <service> <path-prefix>]: service times of the workers' stand-ins. */
struct Route {
  /** "<service> <path-prefix>" */
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

/** A deployment as its INI file describes it. */
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

/** One entry VM with its place in the deployment. */
struct EntryVm {
  std::string name;
  std::string zone;
  std::string ip;
  int slot = 0;
};

/** One worker with its place in the deployment. */
struct Worker {
  std::string name;
  std::string service;
  std::string zone;
  IpEndpoint listen;
};

/** A deployment, and every problem found in its file. Valid only if there are no problems. */
struct DeploymentResult {
  Deployment deployment;
  std::vector<settings::SettingsProblem> problems;
};

/** Parses and checks a deployment file. */
DeploymentResult ParseDeployment(const settings::IniDocument& document);

/** Returns the entry VMs in the order of their slots. */
std::vector<EntryVm> EntryVmsOf(const Deployment& deployment);

/** Returns the workers; those of one service are spread over the zones in turn. */
std::vector<Worker> WorkersOf(const Deployment& deployment);

}  // namespace qh::deployment
