#pragma once

#include <sys/types.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "quetzalhinge/http/http_client.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"

namespace qh::control {

/** Runs the loop until `condition` holds; fails the test after 60 s. */
void WaitUntil(net::EventLoop& loop, const char* what, const std::function<bool()>& condition);

/** Status and JSON body of a response of the operator interface. */
struct OperatorResponse {
  int status = 0;
  nlohmann::json body;
};

/** A qh-control child process with its own loopback address. */
class ControlVm {
 public:
  /**
   * Writes the settings file; does not start the process.
   * @param index number of the VM within the test, from 1
   * @param seeds VMs whose gossip addresses are the seeds of this one
   */
  ControlVm(net::EventLoop& loop, const IpEndpoint& platform, int index,
            const std::vector<const ControlVm*>& seeds = {});

  /** Kills the process if it is still running. */
  ~ControlVm();
  ControlVm(const ControlVm&) = delete;
  ControlVm& operator=(const ControlVm&) = delete;

  /** Starts the process and waits until the operator interface responds. */
  void Start();

  /** Sends a signal to the process. */
  void Signal(int number);

  /** Waits until the process has exited; returns its exit code, -1 if a signal ended it. */
  int WaitForExit();

  const vm_settings::EntryVmSettings& Settings() const noexcept { return m_settings; }

  /** Starts a request to the operator interface. */
  void StartCall(const std::string& method, const std::string& path, const nlohmann::json& body,
                 std::function<void(OperatorResponse)> callback);

  /** Sends a request to the operator interface and waits; status 0 if there is no response. */
  OperatorResponse Call(const std::string& method, const std::string& path,
                        const nlohmann::json& body = nullptr);

  /** Puts a valid contract with rate limit `rate`; `extra` is merged into the request body. */
  OperatorResponse Put(const std::string& customer, const std::string& operation, double rate = 100,
                       const nlohmann::json& extra = nlohmann::json::object());

  /** Returns the metrics in Prometheus text format. */
  std::string Metrics();

  /** Bearer token that is sent in requests. */
  std::string token;

 private:
  std::string WriteSettingsFile() const;

  net::EventLoop& m_loop;
  vm_settings::EntryVmSettings m_settings;
  std::unique_ptr<http::HttpClient> m_client;
  std::string m_settings_file;
  pid_t m_pid = 0;
};

/** Returns the body of a PUT request with a valid contract. */
nlohmann::json PutBody(const std::string& customer, const std::string& operation, double rate);

}  // namespace qh::control
