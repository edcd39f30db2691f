#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "quetzalhinge/limits/rate_share_ledger.h"

namespace qh::limits {

/**
 * Conditions of a simulation. `loss` and `duplication` are probabilities per message, `pause` and
 * `restart` per VM and step.
 */
struct ShareWorldOptions {
  SlotNumber vm_count = 15;
  double loss = 0;
  double duplication = 0;
  std::chrono::milliseconds shortest_delay{2};
  std::chrono::milliseconds longest_delay{3};
  double pause = 0;
  double restart = 0;
  /** The relative speed of each VM's clock is within [1 - clock_drift, 1 + clock_drift]. */
  double clock_drift = 0;
  std::uint64_t seed = 1;
};

/**
 * Simulation of entry VMs that exchange the messages of one customer's ledgers, in steps of 10 ms
 * of simulated time. A paused VM neither admits requests nor receives messages until it resumes;
 * messages to it stay queued.
 */
class ShareWorld {
 public:
  static constexpr std::chrono::milliseconds kStep{10};

  ShareWorld(ShareWorldOptions options, ContractRate contract);

  /** Sets the rate at which requests arrive at a VM. */
  void SetLoad(SlotNumber slot, double requests_per_second) {
    m_vms[slot].load = requests_per_second;
  }

  /** Stops a VM permanently. */
  void Kill(SlotNumber slot) { m_vms[slot].paused_until = Duration::max(); }

  /** Runs one step: faults, message delivery, admission of requests, borrow requests. */
  void Step();

  /** Runs steps for `time`. */
  void Run(Duration time);

  /** Returns the sum of the usable fractions of all running VMs. */
  double TotalFraction();

  /** Returns the number of requests that a VM has admitted so far. */
  int AdmittedAt(SlotNumber slot) const { return m_vms[slot].admitted; }

  /** Returns the number of requests that all VMs admitted in the last step. */
  int AdmittedInStep() const { return m_admitted_in_step; }

  double FractionOf(SlotNumber slot) { return m_vms[slot].ledger->UsableFraction(LocalTime(slot)); }
  RateShareLedger& LedgerOf(SlotNumber slot) { return *m_vms[slot].ledger; }
  RandomGenerator& Random() { return m_random; }
  Duration Now() const { return m_now; }

 private:
  using Message = std::variant<BorrowRequest, LoanGrant>;

  struct Vm {
    std::unique_ptr<RateShareLedger> ledger;
    double clock_speed = 1;
    Duration paused_until{};
    double load = 0;
    double due_requests = 0;
    int admitted = 0;
    std::multimap<Duration, Message> inbox;
  };

  bool RandomEvent(double probability);
  bool IsRunning(const Vm& vm) const { return vm.paused_until <= m_now; }
  TimePoint LocalTime(SlotNumber slot) const;
  void Start(SlotNumber slot, TimePoint process_started);
  void InjectFaults(SlotNumber slot);
  void Send(SlotNumber to, const Message& message);
  void Receive(SlotNumber slot);
  void ServeAndPlan(SlotNumber slot);

  ShareWorldOptions m_options;
  ContractRate m_contract;
  RandomGenerator m_random;
  Duration m_now = std::chrono::seconds(100);
  int m_steps = 0;
  int m_admitted_in_step = 0;
  std::vector<Vm> m_vms;
};

}  // namespace qh::limits
