#include "control_vm.h"

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <utility>

extern char** environ;

namespace qh::control {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{60000};
constexpr milliseconds kRequestTimeout{30000};

/** Every test process uses its own part of 127.0.0.0/8, so that tests can run in parallel. */
std::string AddressOf(int index) {
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(1 + pid % 250) + "." +
         std::to_string(index);
}

}  // namespace

void WaitUntil(net::EventLoop& loop, const char* what, const std::function<bool()>& condition) {
  INFO("waiting until " << what);
  const TimePoint limit = loop.Now() + kWaitTimeout;
  while (!condition()) {
    REQUIRE(loop.Now() < limit);
    loop.RunOnce(milliseconds(20));
  }
}

ControlVm::ControlVm(net::EventLoop& loop, const IpEndpoint& platform, int index,
                     const std::vector<const ControlVm*>& seeds)
    : token("operator-token-of-tests"), m_loop(loop) {
  const std::string ip = AddressOf(index);
  m_settings.name = "vm-" + std::to_string(index);
  m_settings.zone = "zone-" + std::to_string(index);
  m_settings.slot = index - 1;
  m_settings.vm_count = 15;
  m_settings.addresses = {{ip, 8000}, {ip, 8001}, {ip, 8002}, {ip, 8003}, {ip, 8004}, {ip, 8005}};
  m_settings.platform = platform;
  m_settings.deployment_key = "deployment-key-of-tests";
  for (const ControlVm* seed : seeds) {
    m_settings.seeds.push_back(seed->Settings().addresses.gossip);
  }
  m_settings_file = WriteSettingsFile();
  http::HttpClientOptions options;
  options.connect_timeout = kRequestTimeout;
  m_client = std::make_unique<http::HttpClient>(loop, m_settings.addresses.operators, options);
}

ControlVm::~ControlVm() {
  if (m_pid != 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
  std::filesystem::remove(m_settings_file);
}

std::string ControlVm::WriteSettingsFile() const {
  const std::string path = (std::filesystem::temp_directory_path() /
                            ("qh-control-" + m_settings.addresses.callers.ip + ".ini"))
                               .string();
  const vm_settings::EntryVmAddresses& addresses = m_settings.addresses;
  std::ofstream file(path);
  file << "[vm]\nname = " << m_settings.name << "\nzone = " << m_settings.zone
       << "\nslot = " << m_settings.slot << "\nvm_count = " << m_settings.vm_count
       << "\n[addresses]\ncallers = " << ToString(addresses.callers)
       << "\nentry_admin = " << ToString(addresses.entry_admin)
       << "\noperators = " << ToString(addresses.operators)
       << "\ngossip = " << ToString(addresses.gossip)
       << "\ncontrol_rpc = " << ToString(addresses.control_rpc)
       << "\nentry_rpc = " << ToString(addresses.entry_rpc)
       << "\n[platform]\nendpoint = " << ToString(m_settings.platform)
       << "\nrequest_timeout = 300 ms\nlist_interval = 200 ms"
       << "\n[keys]\ndeployment_key = " << m_settings.deployment_key
       << "\noperator_token = " << token << "\n";
  if (!m_settings.seeds.empty()) {
    file << "[peers]\nseeds = ";
    for (std::size_t i = 0; i < m_settings.seeds.size(); ++i) {
      file << (i == 0 ? "" : ", ") << ToString(m_settings.seeds[i]);
    }
    file << "\n";
  }
  return path;
}

void ControlVm::Start() {
  std::string program = QH_CONTROL_PROGRAM;
  std::string option = "--settings";
  std::vector<char*> arguments{program.data(), option.data(), m_settings_file.data(), nullptr};
  REQUIRE(posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, arguments.data(), environ) == 0);
  WaitUntil(m_loop, "qh-control responds",
            [this] { return Call("GET", "/v1/status").status == 200; });
}

void ControlVm::Signal(int number) { REQUIRE(kill(m_pid, number) == 0); }

int ControlVm::WaitForExit() {
  int status = 0;
  WaitUntil(m_loop, "qh-control has exited",
            [&] { return waitpid(m_pid, &status, WNOHANG) == m_pid; });
  m_pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void ControlVm::StartCall(const std::string& method, const std::string& path, const json& body,
                          std::function<void(OperatorResponse)> callback) {
  m_client->Start(
      {method, path, {{"authorization", "Bearer " + token}}, body.is_null() ? "" : body.dump()},
      kRequestTimeout, [callback = std::move(callback)](const http::HttpCallResult& result) {
        OperatorResponse operator_response;
        if (const auto* response = std::get_if<http::HttpResponse>(&result)) {
          operator_response.status = response->status;
          operator_response.body = json::parse(response->body.Bytes(), nullptr, false);
        }
        callback(std::move(operator_response));
      });
}

OperatorResponse ControlVm::Call(const std::string& method, const std::string& path,
                                 const json& body) {
  OperatorResponse response;
  bool completed = false;
  StartCall(method, path, body, [&](OperatorResponse result) {
    response = std::move(result);
    completed = true;
  });
  WaitUntil(m_loop, "the operator request has completed", [&] { return completed; });
  return response;
}

OperatorResponse ControlVm::Put(const std::string& customer, const std::string& operation,
                                double rate, const json& extra) {
  json body = PutBody(customer, operation, rate);
  body.update(extra);
  return Call("PUT", "/v1/contracts/" + customer, body);
}

std::string ControlVm::Metrics() {
  std::string text;
  bool completed = false;
  m_client->Start({"GET", "/metrics", {}, ""}, kRequestTimeout,
                  [&](const http::HttpCallResult& result) {
                    if (const auto* response = std::get_if<http::HttpResponse>(&result)) {
                      text = response->body;
                    }
                    completed = true;
                  });
  WaitUntil(m_loop, "the metrics are received", [&] { return completed; });
  return text;
}

json PutBody(const std::string& customer, const std::string& operation, double rate) {
  const json contract{
      {"customer", customer},
      {"limits",
       {{"requests_per_second", rate},
        {"burst", 10},
        {"requests_in_progress", 10},
        {"retry_share", 0.1},
        {"max_body_bytes", 1000},
        {"max_response_bytes", 1000}}},
      {"priority", "normal"},
      {"services", {{{"name", "katalog"}, {"deadline_ms", 2000}, {"idempotent", {"GET /"}}}}}};
  return {{"contract", contract}, {"operation", operation}, {"author", "tests"}};
}

}  // namespace qh::control
