#include "calling_client.h"

#include <algorithm>
#include <utility>

namespace qh::test {
namespace {

constexpr std::chrono::milliseconds kTimeout{30000};

}  // namespace

CallingClient::CallingClient(TestDeployment& deployment, std::string customer, std::string service,
                             int address_vm)
    : m_deployment(deployment),
      m_customer(std::move(customer)),
      m_service(std::move(service)),
      m_address_vm(address_vm) {}

void CallingClient::Start() {
  if (m_stopped) {
    m_call_in_progress = false;
    return;
  }
  m_call_in_progress = true;
  if (std::chrono::steady_clock::now() >= m_valid_until) {
    RequestAddresses();
  } else {
    Call();
  }
}

int CallingClient::CallsTo(int vm) const {
  const auto found = m_calls.find(m_deployment.Callers(vm).ip);
  return found == m_calls.end() ? 0 : found->second;
}

void CallingClient::RequestAddresses() {
  const http::HttpRequest request{
      "GET", "/v1/addresses?service=" + m_service + "&customer=" + m_customer, {}, ""};
  m_deployment.SendAsync(
      m_deployment.Callers(m_address_vm), request,
      [this](const CallResponse& response) {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        m_addresses.clear();
        if (response.status == 200 && body.is_object()) {
          for (const nlohmann::json& address : body["addresses"]) {
            m_addresses.push_back(address["ip"]);
          }
          // The test stops VM 0, which has the lowest address. Sorting makes every client prefer
          // it, and so use it for as long as its addresses are valid.
          std::sort(m_addresses.begin(), m_addresses.end());
          m_valid_until = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(body["ttl_ms"].get<int>());
        }
        if (m_addresses.empty()) {
          m_problems.push_back("no addresses in the response: " + response.code + response.failure);
          m_stopped = true;
        }
        Start();
      },
      kTimeout);
}

void CallingClient::Call() {
  const std::string ip = m_addresses.front();
  ++m_calls[ip];
  m_deployment.SendAsync(
      {ip, m_deployment.Callers(0).port},
      TestDeployment::MakeCall(m_customer, "GET", m_service + "/a", ""),
      [this, ip](const CallResponse& response) {
        if (response.outcome == "ran") {
          ++m_succeeded;
        } else {
          m_problems.push_back(ip + ": " + response.code + response.failure);
        }
        Start();
      },
      kTimeout);
}

}  // namespace qh::test
