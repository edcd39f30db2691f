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

/** A service of the deployment and the number of its workers. */
struct ServiceSpec {
  std::string name;
  int workers = 2;
  /** Median service time in milliseconds. */
  double median_ms = 3;
};

/** Options of a TestDeployment. */
struct DeploymentOptions {
  /**
   * Second octet of all addresses, 127.<subnet>.x.y. Tests that run in parallel must not share it.
   */
  int subnet = 50;
  int vms = 3;
  std::vector<ServiceSpec> services{{"katalog", 3, 3}, {"pesanan", 3, 3}};
  /** Lines appended to the settings file of each VM. */
  std::string extra_settings;
  /** Whether entry VMs connect to the workers and the platform through qh-fault-proxy. */
  bool fault_proxy = false;
};

/** The response to a call, or the reason why there was none. */
struct CallResponse {
  /** HTTP status; 0 if no response was received. */
  int status = 0;
  /** Value of the header x-qh-outcome; empty if it is absent. */
  std::string outcome;
  /**
   * Value of the header x-qh-code, the code of an error response of the load balancer itself;
   * empty if the header is absent.
   */
  std::string code;
  http::HttpHeaders headers;
  std::string body;
  /** Description of the connection error or time-out; empty if a response was received. */
  std::string failure;
};

/**
 * A deployment of real processes: a stand-in platform, stand-in workers, and qh-entry and
 * qh-control for each entry VM. Settings and logs are in a temporary folder, which is removed at
 * the end unless QH_KEEP_LOGS is set. Programs are run from QH_TEST_BINARY_DIR if that is set.
 */
class TestDeployment {
 public:
  explicit TestDeployment(DeploymentOptions options);
  ~TestDeployment();
  TestDeployment(const TestDeployment&) = delete;
  TestDeployment& operator=(const TestDeployment&) = delete;

  /**
   * Starts all processes and waits until each VM serves `customer` under a contract for all
   * services and lists the other VMs. Throws std::runtime_error after 60 s for each of these steps.
   */
  void StartAndServe(const std::string& customer);

  void StartPlatform();
  void StartWorkers();
  void StartEntry(int vm);
  void StartControl(int vm);
  ChildProcess& Entry(int vm) { return *m_entries.at(vm); }
  ChildProcess& Control(int vm) { return *m_controls.at(vm); }

  /** Returns a contract for all services, with GET as the only idempotent method. */
  nlohmann::json ContractFor(const std::string& customer) const;

  /** Puts a contract through the operator API of `vm` and waits for the response. */
  CallResponse PutContract(int vm, const nlohmann::json& contract, const std::string& operation,
                           std::optional<int> expect_version = std::nullopt);

  /** Puts a contract without waiting for the response. */
  void PutContractAsync(int vm, const nlohmann::json& contract, const std::string& operation,
                        std::optional<int> expect_version,
                        std::function<void(CallResponse)> callback);

  /** Returns the status from the operator API of `vm`; null if it does not respond with 200. */
  nlohmann::json FetchStatus(int vm);

  /** Sends a request and waits for its response. */
  CallResponse Send(const IpEndpoint& to, const http::HttpRequest& request,
                    std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));

  /**
   * Sends a request without waiting; RunFor() and WaitUntil() run the loop that calls `callback`.
   */
  void SendAsync(const IpEndpoint& to, const http::HttpRequest& request,
                 std::function<void(CallResponse)> callback,
                 std::chrono::milliseconds timeout = std::chrono::milliseconds(20000));

  /** Returns a request of `customer` to a service; an empty `key` means no idempotency key. */
  static http::HttpRequest MakeCall(const std::string& customer, const std::string& method,
                                    const std::string& service_and_path, const std::string& body,
                                    const std::string& key = "");

  /** Requests a new key prefix of `vm` from `vm` itself. */
  std::string FetchKeyPrefix(int vm, const std::string& customer, const std::string& service);

  /** Returns the number of executions per idempotency key (or request id), over all workers. */
  std::map<std::string, int> Executions();

  /** Sets faults of the workers or of the platform, as the stand-ins document them. */
  void SetWorkerFaults(const nlohmann::json& faults);
  void SetPlatformFaults(const nlohmann::json& faults);

  /** Sets faults of the proxy; its routes are "platform" and the names of the workers. */
  void SetProxyFaults(const nlohmann::json& faults);

  /** Returns the number of open connections through the proxy whose route starts with `prefix`. */
  int ProxyConnections(const std::string& prefix);

  /** Requests a drain through the operator API of `vm`; returns whether it was accepted. */
  bool Drain(int vm);

  /** Returns the content of a log file, such as "entry0.log". */
  std::string ReadLog(const std::string& name) const;

  /** Changes the VM list of the platform. */
  void ChangeVmList(const nlohmann::json& change);

  /** Returns the states of all workers as a JSON array. */
  nlohmann::json WorkerStates();

  /** Returns a counter or gauge from the admin address of qh-entry; 0 if it is absent. */
  double EntryMetric(int vm, const std::string& name_and_labels);

  /** Returns a counter or gauge from the operator API of qh-control; 0 if it is absent. */
  double ControlMetric(int vm, const std::string& name_and_labels);

  /** Returns the timeline events about a worker from the qh-entry of `vm`. */
  nlohmann::json WorkerEvents(int vm, const std::string& worker);

  /** Rewrites the settings file of `vm` with another deployment key. */
  void SetDeploymentKey(int vm, const std::string& key);

  /** Returns the event loop, for timers of a test. */
  net::EventLoop& Loop() noexcept { return m_loop; }

  /** Runs the loop until `condition` holds or `limit` has passed; returns whether it held. */
  bool WaitUntil(const std::function<bool()>& condition,
                 std::chrono::milliseconds limit = std::chrono::milliseconds(30000));

  /** Runs the loop for `duration`. */
  void RunFor(std::chrono::milliseconds duration);

  IpEndpoint Callers(int vm) const { return {VmIp(vm), 8000}; }
  IpEndpoint Operators(int vm) const { return {VmIp(vm), 8002}; }
  IpEndpoint Platform() const { return {Ip(0, 1), 9000}; }
  IpEndpoint WorkerControl() const { return {Ip(0, 1), 9100}; }
  IpEndpoint ProxyControl() const { return {Ip(0, 1), 9200}; }

 private:
  /** Offset of the third address octet of a worker's proxy route from that of the worker. */
  static constexpr int kProxyGroupOffset = 100;

  std::string Ip(int group, int number) const;
  std::string VmIp(int vm) const { return Ip(1, vm + 1); }
  std::string File(const std::string& name) const { return m_folder + "/" + name; }
  void WriteSettings() const;
  void WriteProxySettings() const;
  /** Returns the address at which the entry VMs connect to the platform. */
  IpEndpoint PlatformForVms() const {
    return m_options.fault_proxy ? IpEndpoint{Ip(0, 2), 9000} : Platform();
  }
  /** Returns the worker address in the VM list: that of the proxy route, if there is one. */
  std::string ListedWorkerIp(int group, int number) const {
    return Ip(m_options.fault_proxy ? group + kProxyGroupOffset : group, number);
  }
  void WriteVmSettings(int vm, const std::string& key = "key-of-the-test-deployment") const;
  double ReadMetric(const IpEndpoint& from, const std::string& name_and_labels);
  std::unique_ptr<ChildProcess> Start(const std::string& program, const std::string& settings,
                                      const std::string& log) const;
  nlohmann::json GetJson(const IpEndpoint& from, const std::string& path);
  void PostJson(const IpEndpoint& to, const std::string& path, const nlohmann::json& body);
  http::HttpClient& ClientFor(const IpEndpoint& peer);

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
