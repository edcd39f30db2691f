#include <capnp/message.h>
#include <capnp/serialize.h>
#include <processes.capnp.h>

#include <memory>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/limits/rate_share_ledger.h"
#include "samples.h"

namespace qh::capacity {
namespace {

using limits::RateShareLedger;

const TimePoint kStartTime = TimePoint(std::chrono::hours(1));
const TimePoint kNow = kStartTime + std::chrono::minutes(1);
const std::vector<std::size_t> kLoanCounts{1000, 2000, 4000, 8000};

limits::RateShareOptions ShareOptions(limits::SlotNumber slot) {
  limits::RateShareOptions options;
  options.customer = CustomerName(7);
  options.own_slot = slot;
  options.vm_count = kVmCount;
  return options;
}

RateShareLedger MakeLedger(limits::SlotNumber slot) {
  return {ShareOptions(slot), {1000, 200}, kStartTime, kNow};
}

/** Returns a home slot of the sample customer. */
limits::SlotNumber LenderSlot() {
  const RateShareLedger ledger = MakeLedger(0);
  return ledger.HomeSlots().front();
}

/** Encoded sizes of `count` requests and their grants, without the RPC envelope. */
double LoanBytes(std::size_t count) {
  double bytes = 0;
  for (std::size_t i = 0; i < count; ++i) {
    capnp::MallocMessageBuilder message;
    auto params = message.initRoot<rpc::wire::ControlPeer::BorrowParams>();
    params.setCustomer(CustomerName(7));
    params.initRequest().setFraction(1.0);
    capnp::MallocMessageBuilder response;
    auto results = response.initRoot<rpc::wire::ControlPeer::BorrowResults>();
    results.setGranted(true);
    results.initGrant().setFraction(1.0);
    bytes += static_cast<double>((capnp::computeSerializedSizeInWords(message) +
                                  capnp::computeSerializedSizeInWords(response)) *
                                 sizeof(capnp::word));
  }
  return bytes;
}

double LendMicros(std::size_t count) {
  const limits::SlotNumber slot = LenderSlot();
  RateShareLedger lender = MakeLedger(slot);
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < count; ++i) {
      const limits::BorrowRequest request{i + 1, 0, slot, 0.01, std::chrono::seconds(3)};
      DoNotOptimize(lender.OnRequest(request, kNow + std::chrono::milliseconds(200 * i)));
    }
  });
}

/**
 * Time of a borrower with constant demand, on a VM that is not a home slot, to use its share, plan
 * requests and process grants.
 */
double BorrowMicros(std::size_t rounds) {
  RateShareLedger borrower = MakeLedger(kVmCount - 1);
  RandomGenerator generator(1);
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < rounds; ++i) {
      const TimePoint now = kNow + std::chrono::milliseconds(50 * i);
      for (int request_index = 0; request_index < 50; ++request_index) {
        DoNotOptimize(borrower.TryTake(now));
      }
      for (const limits::BorrowRequest& request : borrower.PlanRequests(now, generator)) {
        borrower.OnGrant({request.request_id, request.borrower, request.lender, 1.0 / 12}, now);
      }
    }
  });
}

/** Requests that a VM sends for a customer with constant demand, in rounds of 50 ms. */
double RequestsSent(std::size_t rounds) {
  RateShareLedger borrower = MakeLedger(kVmCount - 1);
  RandomGenerator generator(1);
  double requests = 0;
  for (std::size_t i = 0; i < rounds; ++i) {
    const TimePoint now = kNow + std::chrono::milliseconds(50 * i);
    for (int request_index = 0; request_index < 50; ++request_index) {
      DoNotOptimize(borrower.TryTake(now));
    }
    for (const limits::BorrowRequest& request : borrower.PlanRequests(now, generator)) {
      ++requests;
      borrower.OnGrant({request.request_id, request.borrower, request.lender, 1.0 / 12}, now);
    }
  }
  return requests;
}

}  // namespace

std::vector<Series> LoanSeries() {
  return {{"loan.message_size", "request+grant", "B", kLoanCounts, LoanBytes},
          {"loan.lend", "request", "us", kLoanCounts, LendMicros},
          {"loan.borrow_round", "round of 50 ms", "us", kLoanCounts, BorrowMicros},
          {"loan.requests", "round of 50 ms", "messages", kLoanCounts, RequestsSent}};
}

}  // namespace qh::capacity
