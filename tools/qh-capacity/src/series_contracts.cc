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

const TimePoint kStarted = TimePoint(std::chrono::hours(1));
const TimePoint kNow = kStarted + std::chrono::minutes(1);
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
        std::make_unique<CustomerAdmission>(ShareOptions(i), customer_limits, kStarted, kNow));
  }
  return admissions;
}

/** Contracts included, log excluded: the log's capacity bounds it. */
double BookBytes(std::size_t customers) {
  return BytesOf([&] {
    auto book = std::make_unique<contract::ContractBook>();
    book->ApplySnapshot(SampleSnapshot(customers));
    return book;
  });
}

double LogBytes(std::size_t changes) {
  return BytesOf([&] {
    auto book = std::make_unique<contract::ContractBook>();
    for (std::size_t i = 0; i < changes; ++i) {
      book->Apply(SampleChange(i + 1, 0));
    }
    return book;
  });
}

double TakeSnapshotMicros(std::size_t customers) {
  contract::ContractSnapshot snapshot = SampleSnapshot(customers);
  contract::ContractBook book;
  return MicrosOf([&] { book.ApplySnapshot(std::move(snapshot)); });
}

double AdmissionBytes(std::size_t customers) {
  return BytesOf([&] { return MakeAdmissions(customers); });
}

double AdmissionMicros(std::size_t customers) {
  return MicrosOf([&] { KeepResult(MakeAdmissions(customers)); });
}

/** What qh-entry does for every customer when one contract changes: look all of them up. */
double LookUpAllMicros(std::size_t customers) {
  contract::ContractBook book;
  book.ApplySnapshot(SampleSnapshot(customers));
  return MicrosOf([&] {
    for (const std::string& customer : book.Customers()) {
      KeepResult(book.Find(customer));
    }
  });
}

}  // namespace

std::vector<Series> ContractSeries() {
  return {{"contract.book_memory", "contract", "B", kCustomerCounts, BookBytes},
          {"contract.log_memory", "change", "B", {250, 500, 750, 1000}, LogBytes},
          {"contract.take_snapshot", "contract", "us", kCustomerCounts, TakeSnapshotMicros},
          {"contract.admission_memory", "contract", "B", kCustomerCounts, AdmissionBytes},
          {"contract.admission_create", "contract", "us", kCustomerCounts, AdmissionMicros},
          {"contract.look_up_all", "contract", "us", kCustomerCounts, LookUpAllMicros}};
}

}  // namespace qh::capacity
