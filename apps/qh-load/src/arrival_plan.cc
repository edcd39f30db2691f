#include "arrival_plan.h"

#include <cmath>
#include <numbers>
#include <utility>

namespace qh::load {
namespace {

using std::chrono::microseconds;

std::vector<double> WeightsOf(const Scenario& scenario) {
  std::vector<double> weights;
  for (const MixEntry& mix : scenario.mix) {
    weights.push_back(mix.weight);
  }
  return weights;
}

}  // namespace

double RateAt(const Phase& phase, microseconds elapsed) noexcept {
  const std::chrono::duration<double> seconds = elapsed;
  const double step = phase.to_rate - phase.rate;
  switch (phase.shape) {
    case PhaseShape::kSteady:
      break;
    case PhaseShape::kRamp:
      return phase.rate + step * (seconds / std::chrono::duration<double>(phase.duration));
    case PhaseShape::kSwing: {
      const double turns = seconds / std::chrono::duration<double>(phase.period);
      return phase.rate + step * (1 - std::cos(2 * std::numbers::pi * turns)) / 2;
    }
  }
  return phase.rate;
}

ArrivalPlan::ArrivalPlan(const Scenario& scenario, std::string run)
    : m_scenario(scenario), m_run(std::move(run)), m_generator(scenario.seed) {
  const std::vector<double> weights = WeightsOf(scenario);
  m_mix = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

std::optional<PlannedCall> ArrivalPlan::Next() {
  while (m_phase < m_scenario.phases.size()) {
    const Phase& phase = m_scenario.phases[m_phase];
    std::exponential_distribution<double> gap_seconds(RateAt(phase, m_now - m_phase_start));
    m_now += microseconds(static_cast<std::int64_t>(gap_seconds(m_generator) * 1e6));
    const microseconds phase_end = m_phase_start + phase.duration;
    if (m_now < phase_end) {
      break;
    }
    m_now = phase_end;
    m_phase_start = phase_end;
    ++m_phase;
  }
  if (m_phase == m_scenario.phases.size()) {
    return std::nullopt;
  }
  PlannedCall call;
  call.start = m_now;
  call.mix = m_mix(m_generator);
  const std::vector<std::string>& customers = m_scenario.mix[call.mix].customers;
  call.customer =
      customers[std::uniform_int_distribution<std::size_t>(0, customers.size() - 1)(m_generator)];
  call.direct = std::bernoulli_distribution(m_scenario.direct_share)(m_generator);
  call.id = m_run + "-" + std::to_string(m_next_number++);
  return call;
}

}  // namespace qh::load
