#include "share_world.h"

#include <random>

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kStepsPerPlan = 10;
constexpr milliseconds kMaxPause{8000};

}  // namespace

ShareWorld::ShareWorld(ShareWorldOptions options, ContractRate contract)
    : m_options(options), m_contract(contract), m_random(options.seed), m_vms(options.vm_count) {
  for (SlotNumber slot = 0; slot < options.vm_count; ++slot) {
    m_vms[slot].clock_speed =
        std::uniform_real_distribution(1 - options.clock_drift, 1 + options.clock_drift)(m_random);
    Start(slot, LocalTime(slot) - seconds(60));
  }
}

void ShareWorld::Step() {
  m_now += kStep;
  ++m_steps;
  m_admitted_in_step = 0;
  for (SlotNumber slot = 0; slot < m_options.vm_count; ++slot) {
    InjectFaults(slot);
    if (IsRunning(m_vms[slot])) {
      Receive(slot);
      ServeAndPlan(slot);
    }
  }
}

void ShareWorld::Run(Duration time) {
  for (const Duration end = m_now + time; m_now < end;) {
    Step();
  }
}

double ShareWorld::TotalFraction() {
  double total = 0;
  for (SlotNumber slot = 0; slot < m_options.vm_count; ++slot) {
    total += IsRunning(m_vms[slot]) ? FractionOf(slot) : 0;
  }
  return total;
}

bool ShareWorld::RandomEvent(double probability) {
  return std::uniform_real_distribution(0.0, 1.0)(m_random) < probability;
}

TimePoint ShareWorld::LocalTime(SlotNumber slot) const {
  const std::chrono::duration<double> local =
      m_vms[slot].clock_speed * std::chrono::duration<double>(m_now);
  return TimePoint(std::chrono::duration_cast<Duration>(local) + seconds(1000) * (slot + 1));
}

void ShareWorld::Start(SlotNumber slot, TimePoint process_started) {
  RateShareOptions options;
  options.customer = "semarang";
  options.own_slot = slot;
  options.vm_count = m_options.vm_count;
  m_vms[slot].ledger =
      std::make_unique<RateShareLedger>(options, m_contract, process_started, LocalTime(slot));
}

void ShareWorld::InjectFaults(SlotNumber slot) {
  Vm& vm = m_vms[slot];
  if (IsRunning(vm) && RandomEvent(m_options.pause)) {
    vm.paused_until = m_now + milliseconds(std::uniform_int_distribution<int>(
                                  0, static_cast<int>(kMaxPause.count()))(m_random));
  }
  if (RandomEvent(m_options.restart)) {
    Start(slot, LocalTime(slot));
    vm.paused_until = m_now;
  }
}

void ShareWorld::Send(SlotNumber to, const Message& message) {
  for (const bool is_copy : {false, true}) {
    if (RandomEvent(m_options.loss) || (is_copy && !RandomEvent(m_options.duplication))) {
      continue;
    }
    const milliseconds delay(std::uniform_int_distribution<std::int64_t>(
        m_options.shortest_delay.count(), m_options.longest_delay.count())(m_random));
    m_vms[to].inbox.emplace(m_now + delay, message);
  }
}

void ShareWorld::Receive(SlotNumber slot) {
  auto& inbox = m_vms[slot].inbox;
  while (!inbox.empty() && inbox.begin()->first <= m_now) {
    const Message message = inbox.begin()->second;
    inbox.erase(inbox.begin());
    if (const auto* grant = std::get_if<LoanGrant>(&message)) {
      LedgerOf(slot).OnGrant(*grant, LocalTime(slot));
    } else if (const auto new_grant =
                   LedgerOf(slot).OnRequest(std::get<BorrowRequest>(message), LocalTime(slot))) {
      Send(new_grant->borrower, *new_grant);
    }
  }
}

void ShareWorld::ServeAndPlan(SlotNumber slot) {
  Vm& vm = m_vms[slot];
  vm.due_requests += vm.load * std::chrono::duration<double>(kStep).count();
  for (; vm.due_requests >= 1; --vm.due_requests) {
    if (vm.ledger->TryTake(LocalTime(slot))) {
      ++vm.admitted;
      ++m_admitted_in_step;
    }
  }
  if ((m_steps + static_cast<int>(slot)) % kStepsPerPlan == 0) {
    for (const BorrowRequest& request : vm.ledger->PlanRequests(LocalTime(slot), m_random)) {
      Send(request.lender, request);
    }
  }
}

}  // namespace qh::limits
