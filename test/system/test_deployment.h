#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/net/event_loop.h"

namespace qh::test {

/** A service of the deployment and its workers. */
struct ServiceSpec {
  std::string name;
  int workers = 2;
  /** Median service time. */
  double median_ms = 3;
};

/** Options of a TestDeployment. */
struct DeploymentOptions {
  /** Second number of all addresses, 127.<subnet>.x.y; different for tests that run together. */
  int subnet = 50;
  int vms = 3;
  std::vector<ServiceSpec> services{{"katalog", 3, 3}, {"pesanan", 3, 3}};
  /** Lines added to each VM's settings file. */
  std::string extra_settings;
  /** Whether the workers and the platform are reached through qh-fault-proxy. */
  bool fault_proxy = false;
};

/** An answer to a call, or how it failed. */
struct CallAnswer {
  /** 0 if there was no answer. */
  int status = 0;
  /** Header x-qh-outcome; empty if there was none. */
  std::string outcome;
  /** Code of an error that the system itself answered; empty otherwise. */
  std::string code;
  http::HttpHeaders headers;
  std::string body;
  /** Description of a failed call. */
  std::string failure;
};

/** A platform, workers and entry VMs as real processes, in a folder of their own under /tmp. */
class TestDeployment {
 public:
  explicit TestDeployment(DeploymentOptions options);
  ~TestDeployment();
  TestDeployment(const TestDeployment&) = delete;
  TestDeployment& operator=(const TestDeployment&) = delete;

  /** Starts everything and waits until all VMs serve `customer` under a contract for all services.
   */
  void StartAndServe(const std::string& customer);

  void StartPlatform();
  void StartWorkers();
  void StartEntry(int vm);
  void StartControl(int vm);
  ChildProcess& Entry(int vm) { return *m_entries.at(vm); }
  ChildProcess& Control(int vm) { return *m_controls.at(vm); }

  /** Returns a contract for all services; GET is idempotent. */
  nlohmann::json ContractFor(const std::string& customer) const;

  /** Puts a contract through the operators' interface of `vm`. */
  CallAnswer PutContract(int vm, const nlohmann::json& contract, const std::string& operation,
                         std::optional<int> expect_version = std::nullopt);

  /** Returns the status that `vm` answers to operators; null if it does not answer. */
  nlohmann::json StatusOf(int vm);

  /** Sends a request and waits for its answer. */
  CallAnswer Send(const IpEndpoint& to, const http::HttpRequest& request,
                  std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));

  /** Sends a request without waiting; RunFor() and Until() let the answer come. */
  void SendLater(const IpEndpoint& to, const http::HttpRequest& request,
                 std::function<void(CallAnswer)> callback,
                 std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));

  /** Returns a request of `customer` to a service. */
  static http::HttpRequest MakeCall(const std::string& customer, const std::string& method,
                                    const std::string& service_and_path, const std::string& body,
                                    const std::string& key = "");

  /** Returns a fresh key prefix of `vm`, asked for at `vm` itself. */
  std::string KeyPrefix(int vm, const std::string& customer, const std::string& service);

  /** Returns how often each key was run by any worker. */
  std::map<std::string, int> Executions();

  /** Switches faults of the workers or of the platform (docs of the stand-ins). */
  void SetWorkerFaults(const nlohmann::json& faults);
  void SetPlatformFaults(const nlohmann::json& faults);

  /** Switches faults of the proxy; its routes are "platform" and the names of the workers. */
  void SetProxyFaults(const nlohmann::json& faults);

  /** Returns the number of open connections through the proxy whose route starts with `prefix`. */
  int ProxyConnections(const std::string& prefix);

  /** Asks `vm` to drain through the operators' interface; returns whether it agreed. */
  bool Drain(int vm);

  /** Returns what a process has logged, by the name of its file, such as "entry0.log". */
  std::string LogOf(const std::string& name) const;

  /** Changes the platform's VM list. */
  void ChangeVmList(const nlohmann::json& change);

  /** Returns the state of all workers. */
  nlohmann::json WorkerStates();

  /** Returns the value of a counter or gauge at qh-entry's admin address; 0 if it is absent. */
  double EntryMetric(int vm, const std::string& name_and_labels);

  /** Runs the loop until `condition` holds or the limit passes; returns whether it held. */
  bool Until(const std::function<bool()>& condition,
             std::chrono::milliseconds limit = std::chrono::milliseconds(30000));

  /** Runs the loop for `duration`. */
  void RunFor(std::chrono::milliseconds duration);

  IpEndpoint Callers(int vm) const { return {VmIp(vm), 8000}; }
  IpEndpoint Operators(int vm) const { return {VmIp(vm), 8002}; }
  IpEndpoint Platform() const { return {Ip(0, 1), 9000}; }
  IpEndpoint WorkerControl() const { return {Ip(0, 1), 9100}; }
  IpEndpoint ProxyControl() const { return {Ip(0, 1), 9200}; }

 private:
  /** Distance from a worker's third address number to that of its route through the proxy. */
  static constexpr int kProxyGroups = 100;

  std::string Ip(int group, int number) const;
  std::string VmIp(int vm) const { return Ip(1, vm + 1); }
  std::string File(const std::string& name) const { return m_folder + "/" + name; }
  void WriteSettings() const;
  void WriteVmSettings(int vm) const;
  void WriteProxySettings() const;
  /** Returns where the entry VMs reach the platform. */
  IpEndpoint PlatformForVms() const {
    return m_options.fault_proxy ? IpEndpoint{Ip(0, 2), 9000} : Platform();
  }
  /** Returns the address of a worker that the platform lists. */
  std::string ListedWorkerIp(int group, int number) const {
    return Ip(m_options.fault_proxy ? group + kProxyGroups : group, number);
  }
  std::unique_ptr<ChildProcess> Start(const std::string& program, const std::string& settings,
                                      const std::string& log) const;
  nlohmann::json GetJson(const IpEndpoint& from, const std::string& path);
  void PostJson(const IpEndpoint& to, const std::string& path, const nlohmann::json& body);
  http::HttpClient& ClientOf(const IpEndpoint& peer);

  DeploymentOptions m_options;
  std::string m_folder;
  net::EventLoop m_loop;
  std::map<IpEndpoint, std::unique_ptr<http::HttpClient>> m_clients;
  std::unique_ptr<ChildProcess> m_proxy;
  std::unique_ptr<ChildProcess> m_platform;
  std::unique_ptr<ChildProcess> m_workers;
  std::map<int, std::unique_ptr<ChildProcess>> m_controls;
  std::map<int, std::unique_ptr<ChildProcess>> m_entries;
};

}  // namespace qh::test
