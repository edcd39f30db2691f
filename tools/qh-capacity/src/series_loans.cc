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

const TimePoint kStarted = TimePoint(std::chrono::hours(1));
const TimePoint kNow = kStarted + std::chrono::minutes(1);
const std::vector<std::size_t> kLoanCounts{1000, 2000, 4000, 8000};

limits::RateShareOptions OptionsOf(limits::SlotNumber slot) {
  limits::RateShareOptions options;
  options.customer = CustomerName(7);
  options.own_slot = slot;
  options.vm_count = kVmCount;
  return options;
}

RateShareLedger MakeLedger(limits::SlotNumber slot) {
  return {OptionsOf(slot), {1000, 200}, kStarted, kNow};
}

/** A home slot of the sample customer. */
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
    capnp::MallocMessageBuilder answer;
    auto results = answer.initRoot<rpc::wire::ControlPeer::BorrowResults>();
    results.setGranted(true);
    results.initGrant().setFraction(1.0);
    bytes += static_cast<double>((capnp::computeSerializedSizeInWords(message) +
                                  capnp::computeSerializedSizeInWords(answer)) *
                                 sizeof(capnp::word));
  }
  return bytes;
}

double LendMicros(std::size_t count) {
  const limits::SlotNumber slot = LenderSlot();
  RateShareLedger lender = MakeLedger(slot);
  return MicrosOf([&] {
    for (std::size_t i = 0; i < count; ++i) {
      const limits::BorrowRequest request{i + 1, 0, slot, 0.01, std::chrono::seconds(3)};
      KeepResult(lender.OnRequest(request, kNow + std::chrono::milliseconds(200 * i)));
    }
  });
}

/** One borrower with demand at a VM that is no home slot: plans requests and takes grants. */
double BorrowMicros(std::size_t rounds) {
  RateShareLedger borrower = MakeLedger(kVmCount - 1);
  RandomGenerator generator(1);
  return MicrosOf([&] {
    for (std::size_t i = 0; i < rounds; ++i) {
      const TimePoint now = kNow + std::chrono::milliseconds(50 * i);
      for (int taken = 0; taken < 50; ++taken) {
        KeepResult(borrower.TryTake(now));
      }
      for (const limits::BorrowRequest& request : borrower.PlanRequests(now, generator)) {
        borrower.OnGrant({request.request_id, request.borrower, request.lender, 1.0 / 12}, now);
      }
    }
  });
}

/** Requests that one VM sends for one customer with lasting demand, in rounds of 50 ms. */
double RequestsSent(std::size_t rounds) {
  RateShareLedger borrower = MakeLedger(kVmCount - 1);
  RandomGenerator generator(1);
  double requests = 0;
  for (std::size_t i = 0; i < rounds; ++i) {
    const TimePoint now = kNow + std::chrono::milliseconds(50 * i);
    for (int taken = 0; taken < 50; ++taken) {
      KeepResult(borrower.TryTake(now));
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
