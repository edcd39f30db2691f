#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/rate_share_ledger.h"

namespace qh::limits {

/** The contract limits that are enforced before a request is queued. */
struct CustomerLimits {
  ContractRate rate;
  /** Limit over all VMs. This VM applies its fraction of it, rounded up and at least 1. */
  std::uint32_t requests_in_progress = 1;
};

/** Whether a request is admitted. Refusals are reported to callers under the name of the value. */
enum class AdmissionDecision { kAdmitted, kRateLimited, kTooManyInProgress };

/** Returns the stable name of `decision`, for example "rate_limited". */
const char* ToString(AdmissionDecision decision) noexcept;

/** An admission decision and, for refusals, when to retry. */
struct Admission {
  AdmissionDecision decision = AdmissionDecision::kAdmitted;
  /** 0 if admitted. */
  Duration retry_after{};
};

/** Enforces the request rate and the limit on requests in progress of one customer at this VM. */
class CustomerAdmission {
 public:
  /** Takes the parameters of RateShareLedger, with `limits.rate` as the contract rate. */
  CustomerAdmission(RateShareOptions options, CustomerLimits limits, TimePoint process_started,
                    TimePoint now);

  /** Admits or refuses one request. An admitted request counts as in progress until Finish(). */
  Admission TryAdmit(TimePoint now);

  /** Records the end of one admitted request, regardless of its outcome. */
  void Finish() noexcept;

  /** Applies a new revision of the contract; requests in progress stay admitted. */
  void SetLimits(CustomerLimits limits, TimePoint now);

  /** Returns the number of admitted requests that have not finished. */
  std::uint32_t InProgress() const noexcept { return m_in_progress; }

  /** Returns the current limit on requests in progress at this VM, at least 1. */
  std::uint32_t InProgressLimit(TimePoint now);

  /** Returns the share ledger, whose messages the caller exchanges with other VMs. */
  RateShareLedger& Shares() noexcept { return m_shares; }

 private:
  void ReportInProgressDemand(double demand) noexcept;

  CustomerLimits m_limits;
  RateShareLedger m_shares;
  std::uint32_t m_in_progress = 0;
};

}  // namespace qh::limits
