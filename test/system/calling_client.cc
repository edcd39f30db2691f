#include "calling_client.h"

#include <algorithm>
#include <utility>

namespace qh::test {
namespace {

constexpr std::chrono::milliseconds kTimeout{30000};

}  // namespace

CallingClient::CallingClient(TestDeployment& deployment, std::string customer, std::string service,
                             int home)
    : m_deployment(deployment),
      m_customer(std::move(customer)),
      m_service(std::move(service)),
      m_home(home) {}

void CallingClient::Start() {
  if (m_stopped) {
    m_calling = false;
    return;
  }
  m_calling = true;
  if (std::chrono::steady_clock::now() >= m_valid_until) {
    AskForAddresses();
  } else {
    Call();
  }
}

int CallingClient::CallsTo(int vm) const {
  const auto found = m_calls.find(m_deployment.Callers(vm).ip);
  return found == m_calls.end() ? 0 : found->second;
}

void CallingClient::AskForAddresses() {
  const http::HttpRequest request{
      "GET", "/v1/addresses?service=" + m_service + "&customer=" + m_customer, {}, ""};
  m_deployment.SendLater(
      m_deployment.Callers(m_home), request,
      [this](const CallAnswer& answer) {
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        m_addresses.clear();
        if (answer.status == 200 && body.is_object()) {
          for (const nlohmann::json& address : body["addresses"]) {
            m_addresses.push_back(address["ip"]);
          }
          // The lowest address is VM 0, the one that is stopped; callers stay as long as they may.
          std::sort(m_addresses.begin(), m_addresses.end());
          m_valid_until = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(body["ttl_ms"].get<int>());
        }
        if (m_addresses.empty()) {
          m_problems.push_back("no addresses: " + answer.code + answer.failure);
          m_stopped = true;
        }
        Start();
      },
      kTimeout);
}

void CallingClient::Call() {
  const std::string ip = m_addresses.front();
  ++m_calls[ip];
  m_deployment.SendLater(
      {ip, m_deployment.Callers(0).port},
      TestDeployment::MakeCall(m_customer, "GET", m_service + "/a", ""),
      [this, ip](const CallAnswer& answer) {
        if (answer.outcome == "ran") {
          ++m_answered;
        } else {
          m_problems.push_back(ip + ": " + answer.code + answer.failure);
        }
        Start();
      },
      kTimeout);
}

}  // namespace qh::test
