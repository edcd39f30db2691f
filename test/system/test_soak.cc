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

std::uint64_t NumberOf(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/** Calls without end: orders that are sent again until they are settled, and reads. */
class Caller {
 public:
  Caller(TestDeployment& deployment, KeyLedger& ledger, Chance& chance, int number)
      : m_deployment(deployment), m_ledger(ledger), m_chance(chance), m_number(number) {}

  void Stop() { m_stopped = true; }
  bool IsCalling() const noexcept { return m_calling; }
  int Orders() const noexcept { return m_orders; }
  int WholeReads() const noexcept { return m_whole_reads; }
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

  void Next() {
    m_calling = !m_stopped;
    if (m_stopped) {
      return;
    }
    if (m_chance.Below(2) == 0) {
      Read();
    } else {
      AskForKey();
    }
  }

 private:
  void Read() {
    const std::string query = "n=" + std::to_string(m_number) + "-" + std::to_string(++m_count);
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, "GET", "pesanan/stock?" + query, "");
    Send(request, AnyVm(), milliseconds(3000), [this, query](const CallAnswer& answer) {
      if (answer.outcome == "ran" && answer.status == 200) {
        const Result<std::string> checked = standin::CheckAnswerBody(answer.body, query, "");
        if (IsOk(checked)) {
          ++m_whole_reads;
        } else {
          m_problems.push_back(query + ": " + ToString(ErrorOf(checked)));
        }
      }
      Next();
    });
  }

  void AskForKey() {
    const std::string path = std::string("/v1/addresses?service=pesanan&customer=") + kCustomer;
    Send({"GET", path, {}, ""}, AnyVm(), milliseconds(500), [this](const CallAnswer& answer) {
      const auto body = nlohmann::json::parse(answer.body, nullptr, false);
      if (answer.status != 200 || !body.is_object() || body["addresses"].empty()) {
        Next();
        return;
      }
      const nlohmann::json& addresses = body["addresses"];
      const int chosen = m_chance.Below(static_cast<int>(addresses.size()));
      m_holder = addresses[static_cast<std::size_t>(chosen)]["ip"].get<std::string>();
      m_key = addresses[static_cast<std::size_t>(chosen)]["key_prefix"].get<std::string>() + "." +
              std::to_string(m_number) + "-" + std::to_string(++m_count);
      ++m_orders;
      Order(1);
    });
  }

  /** Sends the current order; unsettled ones are sent again to any VM, up to three times. */
  void Order(int attempt) {
    http::HttpRequest request =
        TestDeployment::MakeCall(kCustomer, "POST", "pesanan/orders", "order " + m_key, m_key);
    request.headers.push_back({"x-qh-attempt", std::to_string(attempt)});
    m_ledger.NoteSent(m_key);
    // Most go to the holder, because another VM that asks first bars the key.
    const bool to_holder = m_chance.Below(4) != 0;
    Send(request, to_holder ? m_holder : AnyVm(), milliseconds(300 + m_chance.Below(700)),
         [this, attempt](const CallAnswer& answer) {
           m_ledger.NoteAnswer(m_key, attempt, answer);
           const bool settled = answer.outcome == "ran" && m_chance.Below(4) != 0;
           if (settled || attempt == 4 || m_stopped) {
             Next();
           } else {
             Order(attempt + 1);
           }
         });
  }

  std::string AnyVm() { return m_deployment.Callers(m_chance.Below(kVms)).ip; }

  void Send(const http::HttpRequest& request, const std::string& ip, milliseconds timeout,
            const std::function<void(const CallAnswer&)>& then) {
    m_deployment.SendLater(
        {ip, m_deployment.Callers(0).port}, request,
        [this, then](const CallAnswer& answer) {
          if (answer.status == 0) {
            // A VM that is down refuses at once; without a pause this would be a busy loop.
            m_resume_at = Clock::now() + milliseconds(20);
            m_resume = [then, answer] { then(answer); };
          } else {
            then(answer);
          }
        },
        timeout);
  }

 public:
  /** Goes on after a pause; to be called regularly. */
  void Resume() {
    if (m_resume != nullptr && Clock::now() >= m_resume_at) {
      std::exchange(m_resume, nullptr)();
    }
  }

 private:
  TestDeployment& m_deployment;
  KeyLedger& m_ledger;
  Chance& m_chance;
  int m_number;
  int m_count = 0;
  int m_orders = 0;
  int m_whole_reads = 0;
  bool m_stopped = false;
  bool m_calling = false;
  std::string m_key;
  std::string m_holder;
  Clock::time_point m_resume_at;
  std::function<void()> m_resume;
  std::vector<std::string> m_problems;
};

/** Faults that come and go at random. */
class FaultSource {
 public:
  FaultSource(TestDeployment& deployment, Chance& chance)
      : m_deployment(deployment), m_chance(chance) {}

  /** Starts one fault and ends those that have lasted long enough. */
  void Step() {
    EndStops();
    switch (m_chance.Below(11)) {
      case 0:
        Worker("worker crashes", {{"restart_after_ms", 300}, {"crash", true}});
        break;
      case 1:
        Worker("worker slow", {{"slow_factor", 20}});
        break;
      case 2:
        Worker("worker normal", {{"slow_factor", 1}, {"cut_answers", 0}});
        break;
      case 3:
        Worker("worker cuts answers", {{"cut_answers", 5}});
        break;
      case 4:
        Route("connections silent", {{"silence_open", true}});
        break;
      case 5:
        Route("connections break", {{"cut_open", true}});
        break;
      case 6:
        Route("answers lost", {{"lose_answers", 3}});
        break;
      case 7:
        Route("delay", {{"delay_ms", m_chance.Below(2) * 100}});
        break;
      case 8:
        Platform();
        break;
      case 9:
        StopVm(SIGSTOP, "entry paused");
        break;
      default:
        m_chance.Below(3) == 0 ? StopVm(SIGKILL, "entry killed")
                               : StopVm(SIGTERM, "entry stopped by plan");
    }
  }

  /** Ends all faults. */
  void Heal() {
    while (m_vm >= 0) {
      m_deployment.RunFor(milliseconds(50));
      EndStops();
    }
    m_deployment.SetProxyFaults({{"refuse", false}, {"delay_ms", 0}, {"lose_answers", 0}});
    m_deployment.SetWorkerFaults({{"slow_factor", 1}, {"cut_answers", 0}});
  }

  const std::map<std::string, int>& Counts() const noexcept { return m_counts; }
  const std::vector<std::string>& Problems() const noexcept { return m_problems; }

 private:
  void Worker(const std::string& name, nlohmann::json faults) {
    faults["worker"] = "pesanan-" + std::to_string(m_chance.Below(3));
    m_deployment.SetWorkerFaults(faults);
    ++m_counts[name];
  }

  void Route(const std::string& name, nlohmann::json faults) {
    faults["route"] = "pesanan-" + std::to_string(m_chance.Below(3));
    m_deployment.SetProxyFaults(faults);
    ++m_counts[name];
  }

  void Platform() {
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

  /** One VM at a time, so that callers find another. */
  void StopVm(int signal, const std::string& name) {
    if (m_vm >= 0) {
      return;
    }
    m_vm = m_chance.Below(kVms);
    m_signal = signal;
    m_until = Clock::now() + milliseconds(200 + m_chance.Below(1300));
    m_deployment.Entry(m_vm).Signal(signal);
    ++m_counts[name];
  }

  void EndStops() {
    if (m_vm < 0 || (m_signal != SIGTERM && Clock::now() < m_until)) {
      return;
    }
    if (m_signal == SIGSTOP) {
      m_deployment.Entry(m_vm).Signal(SIGCONT);
    } else if (m_deployment.Entry(m_vm).IsRunning()) {
      if (Clock::now() > m_until + kExitLimit) {
        m_problems.push_back("VM " + std::to_string(m_vm) + " does not end");
        m_vm = -1;
      }
      return;
    } else {
      const std::optional<int> code = m_deployment.Entry(m_vm).WaitForExit(kExitLimit);
      if (m_signal == SIGTERM && code != 0) {
        m_problems.push_back("planned stop ended with " + std::to_string(code.value_or(-1)));
      }
      m_deployment.StartEntry(m_vm);
    }
    m_vm = -1;
  }

  TestDeployment& m_deployment;
  Chance& m_chance;
  int m_vm = -1;
  int m_signal = 0;
  Clock::time_point m_until;
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

// Guards against faults that break a promise only together: at most once, true refusals, whole
// answers, and a planned stop that cuts nothing.
TEST_CASE("The promises to callers hold under random faults") {
  const std::uint64_t seed = NumberOf("QH_SOAK_SEED", kDefaultSeed);
  const std::uint64_t seconds = NumberOf("QH_SOAK_SECONDS", kDefaultSeconds);
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
    callers.back()->Next();
  }
  const auto run = [&](milliseconds duration) {
    const auto until = Clock::now() + duration;
    while (Clock::now() < until) {
      deployment.RunFor(milliseconds(10));
      for (const auto& caller : callers) {
        caller->Resume();
      }
    }
  };
  const auto end = Clock::now() + std::chrono::seconds(seconds);
  while (Clock::now() < end) {
    faults.Step();
    run(milliseconds(100 + fault_chance.Below(300)));
  }
  for (const auto& caller : callers) {
    caller->Stop();
  }
  faults.Heal();
  REQUIRE(deployment.Until([&] {
    return std::none_of(callers.begin(), callers.end(), [](const auto& caller) {
      caller->Resume();
      return caller->IsCalling();
    });
  }));
  for (int vm = 0; vm < kVms; ++vm) {
    REQUIRE(deployment.Until(
        [&] { return deployment.EntryMetric(vm, "qh_attempts_in_progress") == 0; }));
  }

  int orders = 0;
  int whole_reads = 0;
  for (const auto& caller : callers) {
    CHECK(caller->Problems() == std::vector<std::string>{});
    orders += caller->Orders();
    whole_reads += caller->WholeReads();
  }
  std::cout << "orders " << orders << ", whole reads " << whole_reads << std::endl;
  Print("answers to orders", ledger.Outcomes());
  Print("faults", faults.Counts());
  CHECK(faults.Problems() == std::vector<std::string>{});
  CHECK(ledger.Violations(deployment.Executions()) == std::vector<std::string>{});
  CHECK(orders > 0);
  CHECK(whole_reads > 0);
}

}  // namespace
}  // namespace qh::test
