#include "test_deployment.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace qh::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kOperatorToken = "token-of-the-test-operators";
constexpr milliseconds kStartTimeout{60000};

std::string MakeFolder(int subnet) {
  const std::string folder = std::filesystem::temp_directory_path() / "quetzalhinge-test-XXXXXX";
  std::string name = folder;
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder for the deployment with subnet " +
                             std::to_string(subnet));
  }
  return name;
}

std::string HeaderOrEmpty(const http::HttpHeaders& headers, std::string_view name) {
  return std::string(http::FindHeader(headers, name).value_or(""));
}

CallResponse ToCallResponse(http::HttpCallResult result) {
  CallResponse response;
  if (const auto* failure = std::get_if<http::HttpCallFailure>(&result)) {
    response.failure = ToString(failure->error);
    return response;
  }
  auto& http_response = std::get<http::HttpResponse>(result);
  response.status = http_response.status;
  response.outcome = HeaderOrEmpty(http_response.headers, "x-qh-outcome");
  response.code = HeaderOrEmpty(http_response.headers, "x-qh-code");
  response.headers = std::move(http_response.headers);
  response.body = std::string(http_response.body);
  return response;
}

}  // namespace

TestDeployment::TestDeployment(DeploymentOptions options)
    : m_options(std::move(options)), m_folder(MakeFolder(m_options.subnet)) {
  WriteSettings();
}

TestDeployment::~TestDeployment() {
  m_entries.clear();
  m_controls.clear();
  m_workers.reset();
  m_platform.reset();
  m_proxy.reset();
  m_clients.clear();
  // QH_KEEP_LOGS keeps settings and logs to investigate a failed test.
  if (std::getenv("QH_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  }
}

void TestDeployment::StartAndServe(const std::string& customer) {
  if (m_options.fault_proxy) {
    m_proxy = Start("qh-fault-proxy", "proxy.ini", "proxy.log");
  }
  StartPlatform();
  StartWorkers();
  for (int vm = 0; vm < m_options.vms; ++vm) {
    StartControl(vm);
    StartEntry(vm);
  }
  const bool accepted = WaitUntil(
      [&] { return PutContract(0, ContractFor(customer), "setup-" + customer).status == 200; },
      kStartTimeout);
  const bool serving =
      accepted && WaitUntil(
                      [&] {
                        for (int vm = 0; vm < m_options.vms; ++vm) {
                          const http::HttpRequest probe = MakeCall(
                              customer, "GET", m_options.services.front().name + "/ready", "");
                          if (Send(Callers(vm), probe).status != 200) {
                            return false;
                          }
                        }
                        return true;
                      },
                      kStartTimeout);
  // A VM that is not yet a member for its peers cannot be asked about the keys it issued: they
  // answer with the outcome "unknown". Each VM must therefore list its peers (at most 8 addresses).
  const bool known =
      serving &&
      WaitUntil(
          [&] {
            for (int vm = 0; vm < m_options.vms; ++vm) {
              const json response =
                  GetJson(Callers(vm), "/v1/addresses?service=" + m_options.services.front().name +
                                           "&customer=" + customer);
              if (!response.is_object() ||
                  response["addresses"].size() !=
                      static_cast<std::size_t>(std::min(m_options.vms, 8))) {
                return false;
              }
            }
            return true;
          },
          kStartTimeout);
  if (!known) {
    throw std::runtime_error("the deployment did not become ready in time; logs are in " +
                             m_folder);
  }
}

void TestDeployment::StartPlatform() {
  m_platform = Start("qh-standin-platform", "platform.ini", "platform.log");
}

void TestDeployment::StartWorkers() {
  m_workers = Start("qh-standin-worker", "workers.ini", "workers.log");
}

void TestDeployment::StartEntry(int vm) {
  const std::string number = std::to_string(vm);
  m_entries[vm] = Start("qh-entry", "vm" + number + ".ini", "entry" + number + ".log");
}

void TestDeployment::StartControl(int vm) {
  const std::string number = std::to_string(vm);
  m_controls[vm] = Start("qh-control", "vm" + number + ".ini", "control" + number + ".log");
}

json TestDeployment::ContractFor(const std::string& customer) const {
  json services = json::array();
  for (const ServiceSpec& service : m_options.services) {
    services.push_back(
        {{"name", service.name}, {"deadline_ms", 5000}, {"idempotent", json::array({"GET /"})}});
  }
  return {{"customer", customer},
          {"limits",
           {{"requests_per_second", 5000},
            {"burst", 1000},
            {"requests_in_progress", 1000},
            {"retry_share", 0.2},
            {"max_body_bytes", 65536},
            {"max_response_bytes", 1048576}}},
          {"priority", "normal"},
          {"services", services}};
}

CallResponse TestDeployment::PutContract(int vm, const json& contract, const std::string& operation,
                                         std::optional<int> expect_version) {
  std::optional<CallResponse> response;
  PutContractAsync(vm, contract, operation, expect_version,
                   [&](CallResponse received) { response = std::move(received); });
  while (!response.has_value()) {
    m_loop.RunOnce(milliseconds(100));
  }
  return *std::move(response);
}

void TestDeployment::PutContractAsync(int vm, const json& contract, const std::string& operation,
                                      std::optional<int> expect_version,
                                      std::function<void(CallResponse)> callback) {
  json body{{"contract", contract}, {"operation", operation}, {"author", "test"}};
  if (expect_version.has_value()) {
    body["expect_version"] = *expect_version;
  }
  SendAsync(Operators(vm),
            {"PUT",
             "/v1/contracts/" + contract["customer"].get<std::string>(),
             {{"authorization", std::string("Bearer ") + kOperatorToken}},
             body.dump()},
            std::move(callback));
}

json TestDeployment::FetchStatus(int vm) {
  const CallResponse response =
      Send(Operators(vm),
           {"GET", "/v1/status", {{"authorization", std::string("Bearer ") + kOperatorToken}}, ""},
           milliseconds(2000));
  return response.status == 200 ? json::parse(response.body, nullptr, false) : json();
}

CallResponse TestDeployment::Send(const IpEndpoint& to, const http::HttpRequest& request,
                                  milliseconds timeout) {
  std::optional<CallResponse> response;
  SendAsync(
      to, request, [&](CallResponse received) { response = std::move(received); }, timeout);
  while (!response.has_value()) {
    m_loop.RunOnce(milliseconds(100));
  }
  return *std::move(response);
}

void TestDeployment::SendAsync(const IpEndpoint& to, const http::HttpRequest& request,
                               std::function<void(CallResponse)> callback, milliseconds timeout) {
  ClientFor(to).Start(request, timeout,
                      [callback = std::move(callback)](http::HttpCallResult result) {
                        callback(ToCallResponse(std::move(result)));
                      });
}

http::HttpRequest TestDeployment::MakeCall(const std::string& customer, const std::string& method,
                                           const std::string& service_and_path,
                                           const std::string& body, const std::string& key) {
  http::HttpRequest request{
      method, "/svc/" + service_and_path, {{"x-qh-customer", customer}}, body};
  if (!key.empty()) {
    request.headers.push_back({"idempotency-key", key});
  }
  return request;
}

std::string TestDeployment::FetchKeyPrefix(int vm, const std::string& customer,
                                           const std::string& service) {
  const json response =
      GetJson(Callers(vm), "/v1/addresses?service=" + service + "&customer=" + customer);
  for (const json& address : response.value("addresses", json::array())) {
    if (address["ip"] == VmIp(vm)) {
      return address["key_prefix"];
    }
  }
  throw std::runtime_error("entry VM " + std::to_string(vm) +
                           " does not list itself in /v1/addresses");
}

std::map<std::string, int> TestDeployment::Executions() {
  return GetJson(WorkerControl(), "/standin/executions")["executions"]
      .get<std::map<std::string, int>>();
}

void TestDeployment::SetWorkerFaults(const json& faults) {
  PostJson(WorkerControl(), "/standin/faults", faults);
}

void TestDeployment::SetPlatformFaults(const json& faults) {
  PostJson(Platform(), "/standin/faults", faults);
}

void TestDeployment::SetProxyFaults(const json& faults) {
  PostJson(ProxyControl(), "/standin/faults", faults);
}

int TestDeployment::ProxyConnections(const std::string& prefix) {
  int sum = 0;
  const json open = GetJson(ProxyControl(), "/standin/state")["open_connections"];
  for (const auto& [route, count] : open.items()) {
    sum += route.starts_with(prefix) ? count.get<int>() : 0;
  }
  return sum;
}

bool TestDeployment::Drain(int vm) {
  const json body{{"vm", "vm-" + std::to_string(vm)}};
  return Send(Operators(vm), {"POST",
                              "/v1/drain",
                              {{"authorization", std::string("Bearer ") + kOperatorToken}},
                              body.dump()})
             .status == 202;
}

std::string TestDeployment::ReadLog(const std::string& name) const {
  std::ostringstream text;
  text << std::ifstream(File(name)).rdbuf();
  return text.str();
}

void TestDeployment::ChangeVmList(const json& change) {
  PostJson(Platform(), "/standin/vms", change);
}

json TestDeployment::WorkerStates() {
  return GetJson(WorkerControl(), "/standin/state")["workers"];
}

double TestDeployment::EntryMetric(int vm, const std::string& name_and_labels) {
  return ReadMetric({VmIp(vm), 8001}, name_and_labels);
}

double TestDeployment::ControlMetric(int vm, const std::string& name_and_labels) {
  return ReadMetric(Operators(vm), name_and_labels);
}

json TestDeployment::WorkerEvents(int vm, const std::string& worker) {
  const json response = GetJson({VmIp(vm), 8001}, "/v1/timeline?worker=" + worker);
  return response.is_object() ? response.value("events", json::array()) : json::array();
}

void TestDeployment::SetDeploymentKey(int vm, const std::string& key) { WriteVmSettings(vm, key); }

double TestDeployment::ReadMetric(const IpEndpoint& from, const std::string& name_and_labels) {
  std::istringstream text(Send(from, {"GET", "/metrics", {}, ""}).body);
  std::string line;
  while (std::getline(text, line)) {
    if (line.starts_with(name_and_labels + " ")) {
      return std::stod(line.substr(name_and_labels.size() + 1));
    }
  }
  return 0;
}

bool TestDeployment::WaitUntil(const std::function<bool()>& condition, milliseconds limit) {
  const TimePoint until = m_loop.Now() + limit;
  while (!condition()) {
    if (m_loop.Now() >= until) {
      return false;
    }
    RunFor(milliseconds(20));
  }
  return true;
}

void TestDeployment::RunFor(milliseconds duration) {
  const TimePoint until = m_loop.Now() + duration;
  while (m_loop.Now() < until) {
    m_loop.RunOnce(milliseconds(5));
  }
}

std::string TestDeployment::Ip(int group, int number) const {
  return "127." + std::to_string(m_options.subnet) + "." + std::to_string(group) + "." +
         std::to_string(number);
}

void TestDeployment::WriteSettings() const {
  std::ofstream platform(File("platform.ini"));
  std::ofstream workers(File("workers.ini"));
  platform << "[platform]\nlisten = " << ToString(Platform()) << "\n";
  workers << "[process]\ncontrol = " << ToString(WorkerControl()) << "\n";
  if (m_options.fault_proxy) {
    WriteProxySettings();
  }
  int group = 2;
  for (const ServiceSpec& service : m_options.services) {
    for (int i = 0; i < service.workers; ++i) {
      const std::string name = service.name + "-" + std::to_string(i);
      const std::string ip = Ip(group, i + 1);
      workers << "[worker " << name << "]\nservice = " << service.name << "\nlisten = " << ip
              << ":7000\n";
      platform << "[vm " << name << "]\nrole = worker\nservice = " << service.name
               << "\nzone = zone-" << i % 2 << "\nip = " << ListedWorkerIp(group, i + 1)
               << "\nport = 7000\n";
    }
    if (service.workers > 0) {
      workers << "[route " << service.name << " /]\nmedian_ms = " << service.median_ms << "\n";
    }
    ++group;
  }
  for (int vm = 0; vm < m_options.vms; ++vm) {
    platform << "[vm vm-" << vm << "]\nrole = entry\nzone = zone-" << vm % 2
             << "\nip = " << VmIp(vm)
             << "\nport = 8000\ngossip_port = 8003\ncontrol_rpc_port = 8004\n"
                "entry_rpc_port = 8005\n";
    WriteVmSettings(vm);
  }
}

void TestDeployment::WriteProxySettings() const {
  std::ofstream proxy(File("proxy.ini"));
  proxy << "[proxy]\ncontrol = " << ToString(ProxyControl())
        << "\n[route platform]\nlisten = " << ToString(PlatformForVms())
        << "\nupstream = " << ToString(Platform()) << "\n";
  int group = 2;
  for (const ServiceSpec& service : m_options.services) {
    for (int i = 0; i < service.workers; ++i) {
      proxy << "[route " << service.name << "-" << i
            << "]\nlisten = " << ListedWorkerIp(group, i + 1)
            << ":7000\nupstream = " << Ip(group, i + 1) << ":7000\n";
    }
    ++group;
  }
}

void TestDeployment::WriteVmSettings(int vm, const std::string& key) const {
  std::ofstream file(File("vm" + std::to_string(vm) + ".ini"));
  const std::string ip = VmIp(vm);
  file << "[vm]\nname = vm-" << vm << "\nzone = zone-" << vm % 2 << "\nslot = " << vm
       << "\nvm_count = " << m_options.vms << "\n[addresses]\ncallers = " << ip
       << ":8000\nentry_admin = " << ip << ":8001\noperators = " << ip << ":8002\ngossip = " << ip
       << ":8003\ncontrol_rpc = " << ip << ":8004\nentry_rpc = " << ip
       << ":8005\n[platform]\nendpoint = " << ToString(PlatformForVms())
       << "\n[keys]\ndeployment_key = " << key << "\noperator_token = " << kOperatorToken
       << "\n[peers]\nseeds = ";
  for (int other = 0; other < m_options.vms; ++other) {
    file << (other == 0 ? "" : ", ") << VmIp(other) << ":8003";
  }
  file << "\n" << m_options.extra_settings;
}

std::unique_ptr<ChildProcess> TestDeployment::Start(const std::string& program,
                                                    const std::string& settings,
                                                    const std::string& log) const {
  // QH_TEST_BINARY_DIR selects programs of another build, such as one with a mechanism disabled.
  const char* folder = std::getenv("QH_TEST_BINARY_DIR");
  return std::make_unique<ChildProcess>(
      std::vector<std::string>{
          std::string(folder == nullptr ? QH_BINARY_DIR : folder) + "/" + program, "--settings",
          File(settings)},
      File(log));
}

json TestDeployment::GetJson(const IpEndpoint& from, const std::string& path) {
  return json::parse(Send(from, {"GET", path, {}, ""}, milliseconds(2000)).body, nullptr, false);
}

void TestDeployment::PostJson(const IpEndpoint& to, const std::string& path, const json& body) {
  const CallResponse response = Send(to, {"POST", path, {}, body.dump()});
  if (response.status != 200) {
    throw std::runtime_error(path + " responded with " + std::to_string(response.status) + " " +
                             response.body + response.failure);
  }
}

http::HttpClient& TestDeployment::ClientFor(const IpEndpoint& peer) {
  std::unique_ptr<http::HttpClient>& client = m_clients[peer];
  if (client == nullptr) {
    client = std::make_unique<http::HttpClient>(m_loop, peer, http::HttpClientOptions{});
  }
  return *client;
}

}  // namespace qh::test
