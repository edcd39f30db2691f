#include <memory>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/limits/admission_queue.h"
#include "quetzalhinge/routing/route_classifier.h"
#include "quetzalhinge/routing/worker_selector.h"
#include "quetzalhinge/routing/worker_table.h"
#include "samples.h"

namespace qh::capacity {
namespace {

using routing::ObservationSource;
using routing::WorkerState;
using routing::WorkerTable;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr UnixMicros kStamp = 1'796'378'000'000'000;
const std::vector<std::size_t> kMemoryCounts{512, 1024, 2048, 4096};
const std::vector<std::size_t> kTimeCounts{256, 512, 1024, 2048};
const std::vector<std::size_t> kVmCounts{15, 75, 150, 300, 600};
/** Filling a table takes about a second for each 1,000 workers at 300 VMs. */
constexpr int kSlowRepeats = 3;

routing::WorkerTableOptions TableOptions() {
  routing::WorkerTableOptions options;
  options.subset.vm_count = kVmCount;
  return options;
}

void Fill(WorkerTable& table, const std::vector<routing::WorkerInfo>& workers, UnixMicros stamp) {
  for (const routing::WorkerInfo& worker : workers) {
    table.Upsert(worker, {WorkerState::kLive, ObservationSource::kVmList, stamp, ""}, kNow);
  }
}

std::unique_ptr<WorkerTable> FilledTable(const std::vector<routing::WorkerInfo>& workers) {
  auto table = std::make_unique<WorkerTable>(TableOptions());
  Fill(*table, workers, kStamp);
  return table;
}

double TableBytes(std::size_t count) {
  const auto workers = SampleWorkers(count);
  return BytesOf([&] { return FilledTable(workers); });
}

double AddMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  return MicrosOf([&] { KeepResult(FilledTable(workers)); });
}

/** One more reading of an unchanged VM list. */
double RefreshMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  const auto table = FilledTable(workers);
  return MicrosOf([&] { Fill(*table, workers, kStamp + 1); });
}

double LeaveMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  const auto table = FilledTable(workers);
  return MicrosOf([&] {
    for (const routing::WorkerInfo& worker : workers) {
      table->Apply(worker.id, {WorkerState::kLeaving, ObservationSource::kNotice, kStamp + 1, ""},
                   kNow);
    }
  });
}

/** One computation of a service's subset by the number of entry VMs. */
double SubsetMicros(std::size_t vms) {
  constexpr int kUpdates = 20;
  std::vector<std::string> ids;
  for (const routing::WorkerInfo& worker : SampleWorkers(kWorkersPerService)) {
    ids.push_back(worker.id);
  }
  routing::SubsetOptions options;
  options.vm_count = static_cast<int>(vms);
  routing::WorkerSubset subset(options);
  return MicrosOf([&] {
           for (int i = 0; i < kUpdates; ++i) {
             subset.Update(ids);
           }
         }) /
         kUpdates;
}

/** Connections to each worker of a service that one VM may open, by the number of entry VMs. */
double ConnectionsPerWorker(std::size_t vms) {
  routing::WorkerTableOptions options;
  options.subset.vm_count = static_cast<int>(vms);
  WorkerTable table(options);
  Fill(table, SampleWorkers(kWorkersPerService), kStamp);
  return table.ConnectionsPerWorker(ServiceName(0));
}

/** Workers of a service that one VM uses, by the number of entry VMs. */
double SubsetSize(std::size_t vms) {
  routing::WorkerTableOptions options;
  options.subset.vm_count = static_cast<int>(vms);
  WorkerTable table(options);
  Fill(table, SampleWorkers(kWorkersPerService), kStamp);
  return static_cast<double>(table.Candidates(ServiceName(0)).size());
}

/** Queue, classifier entries and one route of each service. */
double ServiceBytes(std::size_t services) {
  return BytesOf([&] {
    std::vector<std::unique_ptr<limits::AdmissionQueue>> queues;
    auto classifier = std::make_unique<routing::RouteClassifier>();
    for (std::size_t i = 0; i < services; ++i) {
      queues.push_back(std::make_unique<limits::AdmissionQueue>(256));
      classifier->Record({ServiceName(i), "GET", "/"}, std::chrono::milliseconds(3), kNow);
    }
    return std::make_pair(std::move(queues), std::move(classifier));
  });
}

double RouteBytes(std::size_t routes) {
  constexpr int kSamples = 25;
  return BytesOf([&] {
    auto classifier = std::make_unique<routing::RouteClassifier>();
    for (std::size_t i = 0; i < routes; ++i) {
      for (int sample = 0; sample < kSamples; ++sample) {
        classifier->Record({"service-1", "GET", "/r" + std::to_string(i)},
                           std::chrono::milliseconds(3), kNow);
      }
    }
    return classifier;
  });
}

double SelectMicros(std::size_t selections) {
  const auto workers = SampleWorkers(kWorkersPerService);
  routing::WorkerTableOptions options;
  options.subset.vm_count = 15;
  WorkerTable table(options);
  Fill(table, workers, kStamp);
  const auto selector = routing::MakeWorkerSelector(routing::SelectionPolicy::kLoadAware);
  RandomGenerator generator(1);
  const auto candidates = table.Candidates(workers.front().service);
  return MicrosOf([&] {
    for (std::size_t i = 0; i < selections; ++i) {
      KeepResult(selector->Select(candidates, {}, kNow, generator));
    }
  });
}

}  // namespace

std::vector<Series> WorkerSeries() {
  const std::vector<std::size_t> operations{20'000, 40'000, 60'000, 80'000};
  return {{"worker.table_memory", "worker", "B", kMemoryCounts, TableBytes, 1},
          {"worker.add", "worker", "us", kTimeCounts, AddMicros, kSlowRepeats},
          {"worker.refresh", "worker", "us", kTimeCounts, RefreshMicros, kSlowRepeats},
          {"worker.leave", "worker", "us", kTimeCounts, LeaveMicros, kSlowRepeats},
          {"worker.subset_update", "entry VM", "us", kVmCounts, SubsetMicros},
          {"worker.connections", "entry VM", "connections", kVmCounts, ConnectionsPerWorker, 1},
          {"worker.subset_size", "entry VM", "workers", kVmCounts, SubsetSize, 1},
          {"service.memory", "service", "B", {64, 128, 192, 250}, ServiceBytes},
          {"route.memory", "route", "B", {128, 256, 512, 1024}, RouteBytes},
          {"call.select", "selection", "us", operations, SelectMicros}};
}

}  // namespace qh::capacity
