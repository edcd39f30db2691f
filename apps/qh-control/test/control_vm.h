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

/** Runs the loop until `condition` holds; fails the test after a generous limit. */
void WaitUntil(net::EventLoop& loop, const char* what, const std::function<bool()>& condition);

/** Status and body of an operators' answer. */
struct OperatorAnswer {
  int status = 0;
  nlohmann::json body;
};

/** A real qh-control process with its own loopback address. */
class ControlVm {
 public:
  /** @param index distinguishes the VMs of one test, from 1 */
  ControlVm(net::EventLoop& loop, const IpEndpoint& platform, int index,
            const std::vector<const ControlVm*>& seeds = {});

  /** Kills the process if it still runs. */
  ~ControlVm();
  ControlVm(const ControlVm&) = delete;
  ControlVm& operator=(const ControlVm&) = delete;

  /** Starts the process and waits until it answers operators. */
  void Start();

  /** Sends a signal. */
  void Signal(int number);

  /** Waits until the process has ended; returns its exit code. */
  int WaitForExit();

  const vm_settings::EntryVmSettings& Settings() const noexcept { return m_settings; }

  /** Starts an operator's call. */
  void StartCall(const std::string& method, const std::string& path, const nlohmann::json& body,
                 std::function<void(OperatorAnswer)> callback);

  /** Makes an operator's call and waits for its answer; status 0 if there was none. */
  OperatorAnswer Call(const std::string& method, const std::string& path,
                      const nlohmann::json& body = nullptr);

  /** Changes a contract. */
  OperatorAnswer Put(const std::string& customer, const std::string& operation, double rate = 100,
                     const nlohmann::json& extra = nlohmann::json::object());

  /** Returns the metrics' text. */
  std::string Metrics();

  std::string token;

 private:
  std::string WriteSettingsFile() const;

  net::EventLoop& m_loop;
  vm_settings::EntryVmSettings m_settings;
  std::unique_ptr<http::HttpClient> m_client;
  std::string m_settings_file;
  pid_t m_pid = 0;
};

/** Returns the body of a PUT of a valid contract. */
nlohmann::json PutBody(const std::string& customer, const std::string& operation, double rate);

}  // namespace qh::control
