#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>

#include "key_ledger.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCustomer = "semarang";
constexpr const char* kService = "pesanan";
constexpr int kWorkers = 3;
constexpr int kOrders = 4;
/** Shorter than the contract's deadline, so that callers time out while the entry still waits. */
constexpr milliseconds kCallerTimeout{400};

/** A fault, set and cleared at three steps of a test with orders whose keys VM 0 issued. */
struct FaultCase {
  std::string name;
  std::function<void(TestDeployment&)> before = [](TestDeployment&) {};
  /** Called when an order is running, or after 150 ms if none is. */
  std::function<void(TestDeployment&)> during = [](TestDeployment&) {};
  std::function<void(TestDeployment&)> after = [](TestDeployment&) {};
  /** Body of all orders; if empty, each order has its own body. */
  std::string shared_body;
};

void SetWorkerRoutes(TestDeployment& deployment, nlohmann::json faults) {
  for (int i = 0; i < kWorkers; ++i) {
    faults["route"] = std::string(kService) + "-" + std::to_string(i);
    deployment.SetProxyFaults(faults);
  }
}

std::function<void(TestDeployment&)> OnRoutes(const nlohmann::json& faults) {
  return [faults](TestDeployment& deployment) { SetWorkerRoutes(deployment, faults); };
}

std::function<void(TestDeployment&)> OnWorkers(nlohmann::json faults) {
  faults["service"] = kService;
  return [faults](TestDeployment& deployment) { deployment.SetWorkerFaults(faults); };
}

std::function<void(TestDeployment&)> OnPlatform(nlohmann::json faults) {
  faults["route"] = "platform";
  return [faults](TestDeployment& deployment) { deployment.SetProxyFaults(faults); };
}

std::function<void(TestDeployment&)> SignalEntry(int vm, int signal) {
  return [vm, signal](TestDeployment& deployment) { deployment.Entry(vm).Signal(signal); };
}

void RestartKeyHolder(TestDeployment& deployment) { deployment.StartEntry(0); }

std::vector<FaultCase> FaultCases() {
  const auto crash = OnWorkers({{"restart_after_ms", 300}, {"crash", true}});
  const auto no_action = [](TestDeployment&) {};
  return {
      {"no fault", no_action, no_action, no_action, ""},
      {"workers refuse connections", OnRoutes({{"refuse", true}, {"cut_open", true}}), no_action,
       OnRoutes({{"refuse", false}}), ""},
      {"workers crash before the execution", crash, no_action, no_action, ""},
      {"workers crash during the execution", no_action, crash, no_action, ""},
      {"each order crashes its worker", OnWorkers({{"restart_after_ms", 300}}), no_action,
       no_action, "qh-crash-worker"},
      {"connections close during the execution", no_action, OnRoutes({{"cut_open", true}}),
       no_action, ""},
      {"responses are lost after the execution", OnRoutes({{"lose_answers", -1}}), no_action,
       OnRoutes({{"lose_answers", 0}}), ""},
      {"responses are truncated in the body", OnWorkers({{"cut_answers", -1}}), no_action,
       OnWorkers({{"cut_answers", 0}}), ""},
      {"responses are truncated in the head", OnRoutes({{"cut_answers_after", 20}}), no_action,
       OnRoutes({{"cut_answers_after", 0}}), ""},
      {"connections become silent during the execution", no_action,
       OnRoutes({{"silence_open", true}}), no_action, ""},
      {"workers are slow", OnWorkers({{"slow_factor", 10}}), no_action,
       OnWorkers({{"slow_factor", 1}}), ""},
      {"requests reach the workers with a delay", OnRoutes({{"delay_ms", 500}}), no_action,
       OnRoutes({{"delay_ms", 0}}), ""},
      {"holder is paused before the request", SignalEntry(0, SIGSTOP), no_action,
       SignalEntry(0, SIGCONT), ""},
      {"holder is paused during the execution", no_action, SignalEntry(0, SIGSTOP),
       SignalEntry(0, SIGCONT), ""},
      {"another entry VM is paused", SignalEntry(1, SIGSTOP), no_action, SignalEntry(1, SIGCONT),
       ""},
      {"holder is restarted before the request",
       [](TestDeployment& deployment) {
         deployment.Entry(0).Signal(SIGKILL);
         RestartKeyHolder(deployment);
       },
       no_action, no_action, ""},
      {"holder is restarted during the execution", no_action, SignalEntry(0, SIGKILL),
       RestartKeyHolder, ""},
      {"platform is down", OnPlatform({{"refuse", true}}), no_action,
       OnPlatform({{"refuse", false}}), ""},
      {"platform is slow", OnPlatform({{"delay_ms", 800}}), no_action,
       OnPlatform({{"delay_ms", 0}}), ""},
      {"responses of the platform are lost", OnPlatform({{"lose_answers", -1}}), no_action,
       OnPlatform({{"lose_answers", 0}}), ""},
  };
}

/** The orders of one fault case, and their requests. */
class OrderSet {
 public:
  OrderSet(TestDeployment& deployment, KeyLedger& ledger, const FaultCase& fault, int number)
      : m_deployment(deployment), m_ledger(ledger) {
    const std::string prefix = deployment.FetchKeyPrefix(0, kCustomer, kService);
    for (int i = 0; i < kOrders; ++i) {
      const std::string key = prefix + "." + std::to_string(number) + "-" + std::to_string(i);
      m_orders.push_back({key, fault.shared_body.empty() ? "order " + key : fault.shared_body});
    }
  }

  /** Sends each order to VM 0; half of them are repeated as soon as the first request has ended. */
  void SendFirst() {
    for (int i = 0; i < kOrders; ++i) {
      Send(i, 0, 1, [this, i] {
        if (i % 2 == 0) {
          Send(i, i % 4 == 0 ? 0 : 1, 2, [] {});
        }
      });
    }
  }

  /** Repeats each order at the holder and at another VM. */
  void Resend() {
    for (int i = 0; i < kOrders; ++i) {
      Send(i, 0, 2, [] {});
      Send(i, 1, 2, [] {});
    }
  }

  bool AllCompleted() const { return m_in_progress == 0; }

  bool AnyRan() const {
    const std::map<std::string, int> executions = m_deployment.Executions();
    return std::any_of(m_orders.begin(), m_orders.end(),
                       [&](const Order& order) { return executions.contains(order.key); });
  }

 private:
  struct Order {
    std::string key;
    std::string body;
  };

  void Send(int order_number, int vm, int attempt, const std::function<void()>& on_done) {
    const Order& order = m_orders[static_cast<std::size_t>(order_number)];
    http::HttpRequest request = TestDeployment::MakeCall(
        kCustomer, "POST", std::string(kService) + "/orders", order.body, order.key);
    request.headers.push_back({"x-qh-attempt", std::to_string(attempt)});
    ++m_in_progress;
    m_ledger.RecordRequest(order.key);
    m_deployment.SendAsync(
        m_deployment.Callers(vm), request,
        [this, key = order.key, attempt, on_done](const CallResponse& response) {
          m_ledger.RecordResponse(key, attempt, response);
          --m_in_progress;
          on_done();
        },
        kCallerTimeout);
  }

  TestDeployment& m_deployment;
  KeyLedger& m_ledger;
  std::vector<Order> m_orders;
  int m_in_progress = 0;
};

bool IsServing(TestDeployment& deployment, int vm) {
  return deployment
             .Send(deployment.Callers(vm),
                   TestDeployment::MakeCall(kCustomer, "GET", "pesanan/ready", ""),
                   milliseconds(1000))
             .status == 200;
}

void RunCase(TestDeployment& deployment, const FaultCase& fault, int number) {
  KeyLedger ledger;
  OrderSet orders(deployment, ledger, fault, number);
  fault.before(deployment);
  orders.SendFirst();
  deployment.WaitUntil([&] { return orders.AnyRan(); }, milliseconds(150));
  fault.during(deployment);
  REQUIRE(deployment.WaitUntil([&] { return orders.AllCompleted(); }));
  orders.Resend();
  REQUIRE(deployment.WaitUntil([&] { return orders.AllCompleted(); }));
  fault.after(deployment);
  REQUIRE(
      deployment.WaitUntil([&] { return IsServing(deployment, 0) && IsServing(deployment, 1); }));
  orders.Resend();
  REQUIRE(deployment.WaitUntil([&] { return orders.AllCompleted(); }));
  // Attempts still in progress may add executions after the comparison.
  REQUIRE(deployment.WaitUntil(
      [&] { return deployment.EntryMetric(0, "qh_attempts_in_progress") == 0; }));
  std::cout << "  " << fault.name << ":";
  for (const auto& [outcome, count] : ledger.Outcomes()) {
    std::cout << " " << outcome << " " << count;
  }
  std::cout << std::endl;
  CHECK(ledger.Violations(deployment.Executions()) == std::vector<std::string>{});
}

// Guards, under each fault, against a second execution of an order, against the outcome "ran"
// without an execution, and against the outcome "not-run" for an order that ran.
TEST_CASE("Orders run at most once and outcomes are correct under each fault") {
  DeploymentOptions options;
  options.subnet = 60;
  options.services = {{"katalog", 1, 3}, {kService, kWorkers, 100}};
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);

  int number = 0;
  for (const FaultCase& fault : FaultCases()) {
    CAPTURE(fault.name);
    RunCase(deployment, fault, ++number);
  }
}

}  // namespace
}  // namespace qh::test
