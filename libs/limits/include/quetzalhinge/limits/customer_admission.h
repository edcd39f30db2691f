#pragma once

#include <cstdint>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/limits/rate_share_ledger.h"

namespace qh::limits {

/** The limits of a contract that apply before a request is queued. */
struct CustomerLimits {
  ContractRate rate;
  /** Contract's limit over all VMs; this VM uses its fraction, rounded up to at least 1. */
  std::uint32_t requests_in_progress = 1;
};

/** Whether a request is admitted; the refusals are the caller-visible codes of the same name. */
enum class AdmissionDecision { kAdmitted, kRateLimited, kTooManyInProgress };

/** Returns the stable name of `decision`, for example "rate_limited". */
const char* ToString(AdmissionDecision decision) noexcept;

/** A decision and, for refusals, when to try again. */
struct Admission {
  AdmissionDecision decision = AdmissionDecision::kAdmitted;
  /** 0 if admitted. */
  Duration retry_after{};
};

/** Applies one customer's rate and its limit on requests in progress at this VM. */
class CustomerAdmission {
 public:
  /** The parameters are those of RateShareLedger; `limits.rate` is its contract rate. */
  CustomerAdmission(RateShareOptions options, CustomerLimits limits, TimePoint process_started,
                    TimePoint now);

  /** Decides on one request; an admitted one counts as in progress until Finish(). */
  Admission TryAdmit(TimePoint now);

  /** Ends one admitted request, whatever its outcome. */
  void Finish() noexcept;

  /** Applies a new revision of the contract; requests in progress stay admitted. */
  void SetLimits(CustomerLimits limits, TimePoint now);

  /** Returns the number of admitted requests that have not finished. */
  std::uint32_t InProgress() const noexcept { return m_in_progress; }

  /** Returns this VM's present limit on requests in progress, at least 1. */
  std::uint32_t InProgressLimit(TimePoint now);

  /** Returns the ledger, to exchange its messages with other VMs. */
  RateShareLedger& Shares() noexcept { return m_shares; }

 private:
  void NoteInProgressDemand(double wanted) noexcept;

  CustomerLimits m_limits;
  RateShareLedger m_shares;
  std::uint32_t m_in_progress = 0;
};

}  // namespace qh::limits
