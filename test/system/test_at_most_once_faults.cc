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
/** Shorter than the contract's deadline, so that callers give up while the entry still waits. */
constexpr milliseconds kImpatientCaller{400};

/** A fault, switched on and off at three steps around a set of orders that VM 0 holds. */
struct FaultCase {
  std::string name;
  std::function<void(TestDeployment&)> before = [](TestDeployment&) {};
  /** When one of the orders runs, or after a moment if none does. */
  std::function<void(TestDeployment&)> during = [](TestDeployment&) {};
  std::function<void(TestDeployment&)> after = [](TestDeployment&) {};
  /** The same body for all orders of the case; otherwise each has its own. */
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

void RestartHolder(TestDeployment& deployment) { deployment.StartEntry(0); }

std::vector<FaultCase> FaultCases() {
  const auto crash = OnWorkers({{"restart_after_ms", 300}, {"crash", true}});
  const auto nothing = [](TestDeployment&) {};
  return {
      {"no fault", nothing, nothing, nothing, ""},
      {"workers refuse connections", OnRoutes({{"refuse", true}, {"cut_open", true}}), nothing,
       OnRoutes({{"refuse", false}}), ""},
      {"workers die before the work", crash, nothing, nothing, ""},
      {"workers die during the work", nothing, crash, nothing, ""},
      {"each order crashes its worker", OnWorkers({{"restart_after_ms", 300}}), nothing, nothing,
       "qh-crash-worker"},
      {"connections break during the work", nothing, OnRoutes({{"cut_open", true}}), nothing, ""},
      {"answers are lost after the work", OnRoutes({{"lose_answers", -1}}), nothing,
       OnRoutes({{"lose_answers", 0}}), ""},
      {"answers are cut in mid-body", OnWorkers({{"cut_answers", -1}}), nothing,
       OnWorkers({{"cut_answers", 0}}), ""},
      {"answers are cut in the head", OnRoutes({{"cut_answers_after", 20}}), nothing,
       OnRoutes({{"cut_answers_after", 0}}), ""},
      {"connections go silent during the work", nothing, OnRoutes({{"silence_open", true}}),
       nothing, ""},
      {"workers are slow", OnWorkers({{"slow_factor", 10}}), nothing,
       OnWorkers({{"slow_factor", 1}}), ""},
      {"requests reach the workers late", OnRoutes({{"delay_ms", 500}}), nothing,
       OnRoutes({{"delay_ms", 0}}), ""},
      {"holder is paused before the request", SignalEntry(0, SIGSTOP), nothing,
       SignalEntry(0, SIGCONT), ""},
      {"holder is paused during the work", nothing, SignalEntry(0, SIGSTOP),
       SignalEntry(0, SIGCONT), ""},
      {"another entry VM is paused", SignalEntry(1, SIGSTOP), nothing, SignalEntry(1, SIGCONT), ""},
      {"holder is restarted before the request",
       [](TestDeployment& deployment) {
         deployment.Entry(0).Signal(SIGKILL);
         RestartHolder(deployment);
       },
       nothing, nothing, ""},
      {"holder is restarted during the work", nothing, SignalEntry(0, SIGKILL), RestartHolder, ""},
      {"platform is down", OnPlatform({{"refuse", true}}), nothing, OnPlatform({{"refuse", false}}),
       ""},
      {"platform is slow", OnPlatform({{"delay_ms", 800}}), nothing, OnPlatform({{"delay_ms", 0}}),
       ""},
      {"platform's answers are lost", OnPlatform({{"lose_answers", -1}}), nothing,
       OnPlatform({{"lose_answers", 0}}), ""},
  };
}

/** Orders of one case: sent once, sent again at once, and sent again after the fault. */
class OrderSet {
 public:
  OrderSet(TestDeployment& deployment, KeyLedger& ledger, const FaultCase& fault, int number)
      : m_deployment(deployment), m_ledger(ledger) {
    const std::string prefix = deployment.KeyPrefix(0, kCustomer, kService);
    for (int i = 0; i < kOrders; ++i) {
      const std::string key = prefix + "." + std::to_string(number) + "-" + std::to_string(i);
      m_orders.push_back({key, fault.shared_body.empty() ? "order " + key : fault.shared_body});
    }
  }

  /** Sends each order to VM 0 and, when its caller gives up, half of them again at once. */
  void SendFirst() {
    for (int i = 0; i < kOrders; ++i) {
      Send(i, 0, 1, [this, i] {
        if (i % 2 == 0) {
          Send(i, i % 4 == 0 ? 0 : 1, 2, [] {});
        }
      });
    }
  }

  /** Sends each order again to the holder and to another VM. */
  void SendAgain() {
    for (int i = 0; i < kOrders; ++i) {
      Send(i, 0, 2, [] {});
      Send(i, 1, 2, [] {});
    }
  }

  bool AllEnded() const { return m_in_progress == 0; }

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

  void Send(int order_number, int vm, int attempt, const std::function<void()>& then) {
    const Order& order = m_orders[static_cast<std::size_t>(order_number)];
    http::HttpRequest request = TestDeployment::MakeCall(
        kCustomer, "POST", std::string(kService) + "/orders", order.body, order.key);
    request.headers.push_back({"x-qh-attempt", std::to_string(attempt)});
    ++m_in_progress;
    m_ledger.NoteSent(order.key);
    m_deployment.SendLater(
        m_deployment.Callers(vm), request,
        [this, key = order.key, attempt, then](const CallAnswer& answer) {
          m_ledger.NoteAnswer(key, attempt, answer);
          --m_in_progress;
          then();
        },
        kImpatientCaller);
  }

  TestDeployment& m_deployment;
  KeyLedger& m_ledger;
  std::vector<Order> m_orders;
  int m_in_progress = 0;
};

bool Serves(TestDeployment& deployment, int vm) {
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
  deployment.Until([&] { return orders.AnyRan(); }, milliseconds(150));
  fault.during(deployment);
  REQUIRE(deployment.Until([&] { return orders.AllEnded(); }));
  orders.SendAgain();
  REQUIRE(deployment.Until([&] { return orders.AllEnded(); }));
  fault.after(deployment);
  REQUIRE(deployment.Until([&] { return Serves(deployment, 0) && Serves(deployment, 1); }));
  orders.SendAgain();
  REQUIRE(deployment.Until([&] { return orders.AllEnded(); }));
  // Work that was started late must have been counted before the executions are compared.
  REQUIRE(
      deployment.Until([&] { return deployment.EntryMetric(0, "qh_attempts_in_progress") == 0; }));
  std::cout << "  " << fault.name << ":";
  for (const auto& [outcome, count] : ledger.Outcomes()) {
    std::cout << " " << outcome << " " << count;
  }
  std::cout << std::endl;
  CHECK(ledger.Violations(deployment.Executions()) == std::vector<std::string>{});
}

// Guards against a second execution of an order, against success that is reported without one, and
// against a refusal with "not run" of an order that ran.
TEST_CASE("Orders run at most once, and refusals are true, under each fault") {
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
