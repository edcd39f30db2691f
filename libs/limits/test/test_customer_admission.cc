#include <catch2/catch.hpp>

#include "quetzalhinge/limits/customer_admission.h"

namespace qh::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RateShareOptions OptionsOf(SlotNumber slot, SlotNumber vm_count) {
  RateShareOptions options;
  options.customer = "semarang";
  options.own_slot = slot;
  options.vm_count = vm_count;
  return options;
}

TEST_CASE("A single VM enforces a customer's contract") {
  const TimePoint start{seconds(100)};
  CustomerAdmission admission(OptionsOf(0, 1), CustomerLimits{{10, 4}, 3}, start - seconds(60),
                              start);
  SECTION("requests in progress are limited until one finishes") {
    for (int i = 0; i < 3; ++i) {
      CHECK(admission.TryAdmit(start).decision == AdmissionDecision::kAdmitted);
    }
    const Admission refused = admission.TryAdmit(start);
    CHECK(refused.decision == AdmissionDecision::kTooManyInProgress);
    CHECK(refused.retry_after > Duration(0));
    admission.Finish();
    CHECK(admission.TryAdmit(start).decision == AdmissionDecision::kAdmitted);
    CHECK(admission.InProgress() == 3);
  }
  SECTION(
      "requests are admitted up to the burst, then at the rate, and refusals have a retry time") {
    for (int i = 0; i < 4; ++i) {
      REQUIRE(admission.TryAdmit(start).decision == AdmissionDecision::kAdmitted);
      admission.Finish();
    }
    const Admission refused = admission.TryAdmit(start);
    CHECK(refused.decision == AdmissionDecision::kRateLimited);
    CHECK(refused.retry_after == milliseconds(100));
    CHECK(admission.TryAdmit(start + refused.retry_after).decision == AdmissionDecision::kAdmitted);
  }
  SECTION("a new revision applies immediately and does not grant another burst") {
    for (int i = 0; i < 4; ++i) {
      admission.TryAdmit(start);
      admission.Finish();
    }
    admission.SetLimits(CustomerLimits{{1000, 500}, 1}, start);
    CHECK(admission.TryAdmit(start).decision == AdmissionDecision::kRateLimited);
    CHECK(admission.TryAdmit(start + milliseconds(1)).decision == AdmissionDecision::kAdmitted);
    CHECK(admission.InProgressLimit(start) == 1);
  }
}

// Guards against refusing a customer with few but slow requests at one VM's share of the limit,
// because the low request rate does not cause the VM to borrow.
TEST_CASE("Slow requests at one VM can use the full limit on requests in progress") {
  const TimePoint start{seconds(100)};
  const CustomerLimits limits{{400, 80}, 60};
  RandomGenerator generator(3);
  std::vector<CustomerAdmission> vms;
  for (SlotNumber slot = 0; slot < 12; ++slot) {
    vms.emplace_back(OptionsOf(slot, 12), limits, start - seconds(60), start);
  }
  CHECK(vms[0].InProgressLimit(start) == 5);
  TimePoint now = start;
  for (; now < start + seconds(2); now += milliseconds(50)) {
    vms[0].TryAdmit(now);
    vms[0].TryAdmit(now);
    for (const BorrowRequest& request : vms[0].Shares().PlanRequests(now, generator)) {
      vms[0].Shares().OnGrant(*vms[request.lender].Shares().OnRequest(request, now), now);
    }
  }
  CHECK(vms[0].InProgress() == 60);
  CHECK(vms[1].InProgressLimit(now) == 1);
}

TEST_CASE("Refusals have stable names") {
  CHECK(ToString(AdmissionDecision::kRateLimited) == std::string("rate_limited"));
  CHECK(ToString(AdmissionDecision::kTooManyInProgress) == std::string("too_many_in_progress"));
}

}  // namespace
}  // namespace qh::limits
