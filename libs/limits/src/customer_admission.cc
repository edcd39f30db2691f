#include "quetzalhinge/limits/customer_admission.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

#include "quetzalhinge/base/enum_table.h"

namespace qh::limits {
namespace {

constexpr EnumTable<AdmissionDecision, 3> kDecisionNames{{{
    {AdmissionDecision::kAdmitted, "admitted"},
    {AdmissionDecision::kRateLimited, "rate_limited"},
    {AdmissionDecision::kTooManyInProgress, "too_many_in_progress"},
}}};

// The end of a request in progress cannot be predicted; this is about the duration of a short one.
constexpr Duration kInProgressRetryAfter = std::chrono::milliseconds(50);
// A VM at its limit cannot measure the demand beyond it, so it assumes twice the demand. Doubling
// reaches a 12 times larger limit in four rounds of borrowing, in less than a second.
constexpr double kRefusedDemandFactor = 2;
// Tolerance for rounding errors: ceil() of a product such as 12 * (1.0 / 12) must not round up by
// one.
constexpr double kRoundingRequests = 1e-6;

}  // namespace

const char* ToString(AdmissionDecision decision) noexcept {
  return kDecisionNames.NameOf(decision);
}

CustomerAdmission::CustomerAdmission(RateShareOptions options, CustomerLimits limits,
                                     TimePoint process_started, TimePoint now)
    : m_limits(limits), m_shares(std::move(options), limits.rate, process_started, now) {}

Admission CustomerAdmission::TryAdmit(TimePoint now) {
  if (m_in_progress >= InProgressLimit(now)) {
    ReportInProgressDemand(kRefusedDemandFactor * (m_in_progress + 1.0));
    return {AdmissionDecision::kTooManyInProgress, kInProgressRetryAfter};
  }
  if (!m_shares.TryTake(now)) {
    return {AdmissionDecision::kRateLimited, m_shares.RetryAfter(now)};
  }
  ++m_in_progress;
  ReportInProgressDemand(m_in_progress);
  return {};
}

void CustomerAdmission::Finish() noexcept {
  if (m_in_progress > 0) {
    --m_in_progress;
  }
  ReportInProgressDemand(m_in_progress);
}

void CustomerAdmission::SetLimits(CustomerLimits limits, TimePoint now) {
  m_limits = limits;
  m_shares.SetContract(limits.rate, now);
  ReportInProgressDemand(m_in_progress);
}

std::uint32_t CustomerAdmission::InProgressLimit(TimePoint now) {
  const double share = m_limits.requests_in_progress * m_shares.UsableFraction(now);
  return static_cast<std::uint32_t>(std::max(1.0, std::ceil(share - kRoundingRequests)));
}

void CustomerAdmission::ReportInProgressDemand(double demand) noexcept {
  m_shares.SetInProgressDemand(demand / std::max<std::uint32_t>(1, m_limits.requests_in_progress));
}

}  // namespace qh::limits
