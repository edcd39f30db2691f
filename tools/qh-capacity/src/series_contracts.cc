#include <memory>
#include <utility>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/contract/contract_book.h"
#include "quetzalhinge/limits/customer_admission.h"
#include "samples.h"

namespace qh::capacity {
namespace {

using limits::CustomerAdmission;

const TimePoint kStartTime = TimePoint(std::chrono::hours(1));
const TimePoint kNow = kStartTime + std::chrono::minutes(1);
const std::vector<std::size_t> kCustomerCounts{500, 1000, 2000, 4000};

limits::RateShareOptions ShareOptions(std::size_t customer) {
  limits::RateShareOptions options;
  options.customer = CustomerName(customer);
  options.vm_count = kVmCount;
  return options;
}

std::vector<std::unique_ptr<CustomerAdmission>> MakeAdmissions(std::size_t customers) {
  std::vector<std::unique_ptr<CustomerAdmission>> admissions;
  const limits::CustomerLimits customer_limits{{1000, 200}, 100};
  for (std::size_t i = 0; i < customers; ++i) {
    admissions.push_back(
        std::make_unique<CustomerAdmission>(ShareOptions(i), customer_limits, kStartTime, kNow));
  }
  return admissions;
}

/** Memory of a book and its contracts without the log, whose capacity is limited. */
double BookBytes(std::size_t customers) {
  return MeasureAllocatedBytes([&] {
    auto book = std::make_unique<contract::ContractBook>();
    book->ApplySnapshot(SampleSnapshot(customers));
    return book;
  });
}

double LogBytes(std::size_t changes) {
  return MeasureAllocatedBytes([&] {
    auto book = std::make_unique<contract::ContractBook>();
    for (std::size_t i = 0; i < changes; ++i) {
      book->Apply(SampleChange(i + 1, 0));
    }
    return book;
  });
}

double ApplySnapshotMicros(std::size_t customers) {
  contract::ContractSnapshot snapshot = SampleSnapshot(customers);
  contract::ContractBook book;
  return MeasureCpuMicros([&] { book.ApplySnapshot(std::move(snapshot)); });
}

double AdmissionBytes(std::size_t customers) {
  return MeasureAllocatedBytes([&] { return MakeAdmissions(customers); });
}

double AdmissionMicros(std::size_t customers) {
  return MeasureCpuMicros([&] { DoNotOptimize(MakeAdmissions(customers)); });
}

/** Time to look up the contracts of all customers, as qh-entry does after each contract change. */
double LookUpAllMicros(std::size_t customers) {
  contract::ContractBook book;
  book.ApplySnapshot(SampleSnapshot(customers));
  return MeasureCpuMicros([&] {
    for (const std::string& customer : book.Customers()) {
      DoNotOptimize(book.Find(customer));
    }
  });
}

}  // namespace

std::vector<Series> ContractSeries() {
  return {{"contract.book_memory", "contract", "B", kCustomerCounts, BookBytes},
          {"contract.log_memory", "change", "B", {250, 500, 750, 1000}, LogBytes},
          {"contract.take_snapshot", "contract", "us", kCustomerCounts, ApplySnapshotMicros},
          {"contract.admission_memory", "contract", "B", kCustomerCounts, AdmissionBytes},
          {"contract.admission_create", "contract", "us", kCustomerCounts, AdmissionMicros},
          {"contract.look_up_all", "contract", "us", kCustomerCounts, LookUpAllMicros}};
}

}  // namespace qh::capacity
