#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "chance.h"
#include "key_ledger.h"
#include "quetzalhinge/standin/answer_check.h"
#include "test_deployment.h"

namespace qh::test {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kCustomer = "semarang";
constexpr int kVms = 3;
constexpr int kCallers = 12;
constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr int kDefaultSeconds = 20;
constexpr milliseconds kExitLimit{60000};

std::uint64_t ReadNumber(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** A caller that sends reads and orders, one after the other, until Stop() is called. */
class Caller {
 public:
  Caller(TestDeployment& deployment, KeyLedger& ledger, Chance& chance, int number)
      : m_deployment(deployment), m_ledger(ledger), m_chance(chance), m_number(number) {}

  void Stop() { m_stopped = true; }
  bool HasCallInProgress() const noexcept { return m_call_in_progress; }
  int Orders() const noexcept { return m_orders; }
  int CompleteReads() const noexcept { return m_complete_reads; }
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

  void StartNextCall() {
    m_call_in_progress = !m_stopped;
    if (m_stopped) {
      return;
    }
    if (m_chance.Below(2) == 0) {
      SendRead();
    } else {
      RequestKey();
    }
  }

 private:
  void SendRead() {
    const std::string query = "n=" + std::to_string(m_number) + "-" + std::to_string(++m_count);
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, "GET", "pesanan/stock?" + query, "");
    Send(request, ChooseVm(), milliseconds(3000), [this, query](const CallResponse& response) {
      if (response.outcome == "ran" && response.status == 200) {
        const Result<std::string> checked = standin::CheckResponseBody(response.body, query, "");
        if (IsOk(checked)) {
          ++m_complete_reads;
        } else {
          m_problems.push_back(query + ": " + ToString(ErrorOf(checked)));
        }
      }
      StartNextCall();
    });
  }

  void RequestKey() {
    const std::string path = std::string("/v1/addresses?service=pesanan&customer=") + kCustomer;
    Send({"GET", path, {}, ""}, ChooseVm(), milliseconds(500),
         [this](const CallResponse& response) {
           const auto body = nlohmann::json::parse(response.body, nullptr, false);
           if (response.status != 200 || !body.is_object() || body["addresses"].empty()) {
             StartNextCall();
             return;
           }
           const nlohmann::json& addresses = body["addresses"];
           const int chosen = m_chance.Below(static_cast<int>(addresses.size()));
           m_holder = addresses[static_cast<std::size_t>(chosen)]["ip"].get<std::string>();
           m_key = addresses[static_cast<std::size_t>(chosen)]["key_prefix"].get<std::string>() +
                   "." + std::to_string(m_number) + "-" + std::to_string(++m_count);
           ++m_orders;
           SendOrder(1);
         });
  }

  /**
   * Sends the current order. It is repeated until its outcome is "ran", in one of four cases even
   * then, and at most three times.
   */
  void SendOrder(int attempt) {
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, "POST", "pesanan/orders", "order " + m_key, m_key);
    request.headers.push_back({"x-qh-attempt", std::to_string(attempt)});
    m_ledger.RecordRequest(m_key);
    // Most requests go to the holder: if another VM asks the holder about a key before its order
    // has arrived, the holder refuses the key from then on.
    const bool to_holder = m_chance.Below(4) != 0;
    Send(request, to_holder ? m_holder : ChooseVm(), milliseconds(300 + m_chance.Below(700)),
         [this, attempt](const CallResponse& response) {
           m_ledger.RecordResponse(m_key, attempt, response);
           const bool settled = response.outcome == "ran" && m_chance.Below(4) != 0;
           if (settled || attempt == 4 || m_stopped) {
             StartNextCall();
           } else {
             SendOrder(attempt + 1);
           }
         });
  }

  std::string ChooseVm() { return m_deployment.Callers(m_chance.Below(kVms)).ip; }

  void Send(const http::HttpRequest& request, const std::string& ip, milliseconds timeout,
            const std::function<void(const CallResponse&)>& on_done) {
    m_deployment.SendAsync(
        {ip, m_deployment.Callers(0).port}, request,
        [this, on_done](const CallResponse& response) {
          if (response.status == 0) {
            // A VM that is down refuses connections immediately; the pause prevents a busy loop.
            m_deferred_until = Clock::now() + milliseconds(20);
            m_deferred_callback = [on_done, response] { on_done(response); };
          } else {
            on_done(response);
          }
        },
        timeout);
  }

 public:
  /** Continues after the pause that follows a failed call; must be called regularly. */
  void RunDeferredCallback() {
    if (m_deferred_callback != nullptr && Clock::now() >= m_deferred_until) {
      std::exchange(m_deferred_callback, nullptr)();
    }
  }

 private:
  TestDeployment& m_deployment;
  KeyLedger& m_ledger;
  Chance& m_chance;
  int m_number;
  int m_count = 0;
  int m_orders = 0;
  int m_complete_reads = 0;
  bool m_stopped = false;
  bool m_call_in_progress = false;
  std::string m_key;
  std::string m_holder;
  Clock::time_point m_deferred_until;
  std::function<void()> m_deferred_callback;
  std::vector<std::string> m_problems;
};

/** Sets and clears random faults of workers, connections, the platform and entry processes. */
class FaultSource {
 public:
  FaultSource(TestDeployment& deployment, Chance& chance)
      : m_deployment(deployment), m_chance(chance) {}

  /** Ends the fault of an entry process if it has lasted long enough, and starts a random fault. */
  void StartFault() {
    EndEntryFault();
    switch (m_chance.Below(11)) {
      case 0:
        SetWorkerFault("worker crashes", {{"restart_after_ms", 300}, {"crash", true}});
        break;
      case 1:
        SetWorkerFault("worker slow", {{"slow_factor", 20}});
        break;
      case 2:
        SetWorkerFault("worker normal", {{"slow_factor", 1}, {"cut_answers", 0}});
        break;
      case 3:
        SetWorkerFault("worker truncates responses", {{"cut_answers", 5}});
        break;
      case 4:
        SetRouteFault("connections silent", {{"silence_open", true}});
        break;
      case 5:
        SetRouteFault("connections closed", {{"cut_open", true}});
        break;
      case 6:
        SetRouteFault("responses lost", {{"lose_answers", 3}});
        break;
      case 7:
        SetRouteFault("delay", {{"delay_ms", m_chance.Below(2) * 100}});
        break;
      case 8:
        ChangePlatformFault();
        break;
      case 9:
        StartEntryFault(SIGSTOP, "entry paused");
        break;
      default:
        m_chance.Below(3) == 0 ? StartEntryFault(SIGKILL, "entry killed")
                               : StartEntryFault(SIGTERM, "planned stop of entry");
    }
  }

  /** Clears all faults and waits until all entry processes run. */
  void ClearFaults() {
    while (m_faulted_vm >= 0) {
      m_deployment.RunFor(milliseconds(50));
      EndEntryFault();
    }
    m_deployment.SetProxyFaults({{"refuse", false}, {"delay_ms", 0}, {"lose_answers", 0}});
    m_deployment.SetWorkerFaults({{"slow_factor", 1}, {"cut_answers", 0}});
  }

  const std::map<std::string, int>& Counts() const noexcept { return m_counts; }
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

 private:
  void SetWorkerFault(const std::string& name, nlohmann::json faults) {
    faults["worker"] = "pesanan-" + std::to_string(m_chance.Below(3));
    m_deployment.SetWorkerFaults(faults);
    ++m_counts[name];
  }

  void SetRouteFault(const std::string& name, nlohmann::json faults) {
    faults["route"] = "pesanan-" + std::to_string(m_chance.Below(3));
    m_deployment.SetProxyFaults(faults);
    ++m_counts[name];
  }

  void ChangePlatformFault() {
    const std::vector<nlohmann::json> faults{
        {{"refuse", true}},
        {{"refuse", false}, {"delay_ms", 500}, {"lose_answers", 0}},
        {{"refuse", false}, {"delay_ms", 0}, {"lose_answers", 20}},
        {{"refuse", false}, {"delay_ms", 0}, {"lose_answers", 0}}};
    nlohmann::json fault = faults[static_cast<std::size_t>(m_chance.Below(4))];
    fault["route"] = "platform";
    m_deployment.SetProxyFaults(fault);
    ++m_counts["platform fault changed"];
  }

  /**
   * Pauses, kills or stops one entry process, unless another one is faulted: callers must find a
   * VM that serves them.
   */
  void StartEntryFault(int signal, const std::string& name) {
    if (m_faulted_vm >= 0) {
      return;
    }
    m_faulted_vm = m_chance.Below(kVms);
    m_fault_signal = signal;
    m_fault_end = Clock::now() + milliseconds(200 + m_chance.Below(1300));
    m_deployment.Entry(m_faulted_vm).Signal(signal);
    ++m_counts[name];
  }

  void EndEntryFault() {
    if (m_faulted_vm < 0 || (m_fault_signal != SIGTERM && Clock::now() < m_fault_end)) {
      return;
    }
    if (m_fault_signal == SIGSTOP) {
      m_deployment.Entry(m_faulted_vm).Signal(SIGCONT);
    } else if (m_deployment.Entry(m_faulted_vm).IsRunning()) {
      if (Clock::now() > m_fault_end + kExitLimit) {
        m_problems.push_back("qh-entry of VM " + std::to_string(m_faulted_vm) +
                             " did not exit within 60 s of the signal");
        m_faulted_vm = -1;
      }
      return;
    } else {
      const std::optional<int> code = m_deployment.Entry(m_faulted_vm).WaitForExit(kExitLimit);
      if (m_fault_signal == SIGTERM && code != 0) {
        m_problems.push_back("planned stop ended with exit code " +
                             std::to_string(code.value_or(-1)));
      }
      m_deployment.StartEntry(m_faulted_vm);
    }
    m_faulted_vm = -1;
  }

  TestDeployment& m_deployment;
  Chance& m_chance;
  int m_faulted_vm = -1;
  int m_fault_signal = 0;
  Clock::time_point m_fault_end;
  std::map<std::string, int> m_counts;
  std::vector<std::string> m_problems;
};

void Print(const char* title, const std::map<std::string, int>& counts) {
  std::cout << title << ":";
  for (const auto& [name, count] : counts) {
    std::cout << " " << name << " " << count << ";";
  }
  std::cout << std::endl;
}

// Guards against combinations of faults that lead to a second execution, to a wrong outcome, to a
// truncated or foreign response, or to calls that a planned stop aborts. QH_SOAK_SEED and
// QH_SOAK_SECONDS select another sequence of faults and a longer run.
TEST_CASE("The guarantees to callers hold under random faults") {
  const std::uint64_t seed = ReadNumber("QH_SOAK_SEED", kDefaultSeed);
  const std::uint64_t seconds = ReadNumber("QH_SOAK_SECONDS", kDefaultSeconds);
  std::cout << "soak: QH_SOAK_SEED=" << seed << " QH_SOAK_SECONDS=" << seconds << std::endl;
  CAPTURE(seed);
  DeploymentOptions options;
  options.subnet = 68;
  options.vms = kVms;
  options.services = {{"katalog", 1, 3}, {"pesanan", 3, 20}};
  options.extra_settings = "[callers]\naddress_ttl = 500ms\n[routing]\nsilent_after = 500ms\n";
  options.fault_proxy = true;
  TestDeployment deployment(options);
  deployment.StartAndServe(kCustomer);

  KeyLedger ledger;
  Chance fault_chance(seed);
  Chance call_chance(seed + 1);
  FaultSource faults(deployment, fault_chance);
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(deployment, ledger, call_chance, i));
    callers.back()->StartNextCall();
  }
  const auto run = [&](milliseconds duration) {
    const auto until = Clock::now() + duration;
    while (Clock::now() < until) {
      deployment.RunFor(milliseconds(10));
      for (const auto& caller : callers) {
        caller->RunDeferredCallback();
      }
    }
  };
  const auto end = Clock::now() + std::chrono::seconds(seconds);
  while (Clock::now() < end) {
    faults.StartFault();
    run(milliseconds(100 + fault_chance.Below(300)));
  }
  for (const auto& caller : callers) {
    caller->Stop();
  }
  faults.ClearFaults();
  REQUIRE(deployment.WaitUntil([&] {
    return std::none_of(callers.begin(), callers.end(), [](const auto& caller) {
      caller->RunDeferredCallback();
      return caller->HasCallInProgress();
    });
  }));
  for (int vm = 0; vm < kVms; ++vm) {
    REQUIRE(deployment.WaitUntil(
        [&] { return deployment.EntryMetric(vm, "qh_attempts_in_progress") == 0; }));
  }

  int orders = 0;
  int complete_reads = 0;
  for (const auto& caller : callers) {
    CHECK(caller->Problems() == std::vector<std::string>{});
    orders += caller->Orders();
    complete_reads += caller->CompleteReads();
  }
  std::cout << "orders " << orders << ", complete reads " << complete_reads << std::endl;
  Print("outcomes of orders", ledger.Outcomes());
  Print("faults", faults.Counts());
  CHECK(faults.Problems() == std::vector<std::string>{});
  CHECK(ledger.Violations(deployment.Executions()) == std::vector<std::string>{});
  CHECK(orders > 0);
  CHECK(complete_reads > 0);
}

}  // namespace
}  // namespace qh::test
