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
constexpr UnixMicros kTimestamp = 1'796'378'000'000'000;
const std::vector<std::size_t> kMemoryWorkerCounts{512, 1024, 2048, 4096};
const std::vector<std::size_t> kTimeWorkerCounts{256, 512, 1024, 2048};
const std::vector<std::size_t> kVmCounts{15, 75, 150, 300, 600};
/** Low, because filling a table takes about 1 s for each 1,000 workers at 300 VMs. */
constexpr int kSlowSeriesMaxRuns = 3;

routing::WorkerTableOptions TableOptions() {
  routing::WorkerTableOptions options;
  options.subset.vm_count = kVmCount;
  return options;
}

void UpsertAll(WorkerTable& table, const std::vector<routing::WorkerInfo>& workers,
               UnixMicros timestamp) {
  for (const routing::WorkerInfo& worker : workers) {
    table.Upsert(worker, {WorkerState::kLive, ObservationSource::kVmList, timestamp, ""}, kNow);
  }
}

std::unique_ptr<WorkerTable> MakeTable(const std::vector<routing::WorkerInfo>& workers) {
  auto table = std::make_unique<WorkerTable>(TableOptions());
  UpsertAll(*table, workers, kTimestamp);
  return table;
}

double TableBytes(std::size_t count) {
  const auto workers = SampleWorkers(count);
  return MeasureAllocatedBytes([&] { return MakeTable(workers); });
}

double AddMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  return MeasureCpuMicros([&] { DoNotOptimize(MakeTable(workers)); });
}

/** Time to process an unchanged VM list again. */
double RefreshMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  const auto table = MakeTable(workers);
  return MeasureCpuMicros([&] { UpsertAll(*table, workers, kTimestamp + 1); });
}

double LeaveMicros(std::size_t count) {
  const auto workers = SampleWorkers(count);
  const auto table = MakeTable(workers);
  return MeasureCpuMicros([&] {
    for (const routing::WorkerInfo& worker : workers) {
      table->Apply(worker.id,
                   {WorkerState::kLeaving, ObservationSource::kNotice, kTimestamp + 1, ""}, kNow);
    }
  });
}

/** Mean time to compute the worker subset of one service, by number of entry VMs. */
double SubsetMicros(std::size_t vms) {
  constexpr int kUpdates = 20;
  std::vector<std::string> ids;
  for (const routing::WorkerInfo& worker : SampleWorkers(kWorkersPerService)) {
    ids.push_back(worker.id);
  }
  routing::SubsetOptions options;
  options.vm_count = static_cast<int>(vms);
  routing::WorkerSubset subset(options);
  return MeasureCpuMicros([&] {
           for (int i = 0; i < kUpdates; ++i) {
             subset.Update(ids);
           }
         }) /
         kUpdates;
}

/** Maximum number of connections from one VM to each worker of a service, by number of VMs. */
double ConnectionsPerWorker(std::size_t vms) {
  routing::WorkerTableOptions options;
  options.subset.vm_count = static_cast<int>(vms);
  WorkerTable table(options);
  UpsertAll(table, SampleWorkers(kWorkersPerService), kTimestamp);
  return table.ConnectionsPerWorker(ServiceName(0));
}

/** Number of workers of a service that one VM uses, by number of entry VMs. */
double SubsetSize(std::size_t vms) {
  routing::WorkerTableOptions options;
  options.subset.vm_count = static_cast<int>(vms);
  WorkerTable table(options);
  UpsertAll(table, SampleWorkers(kWorkersPerService), kTimestamp);
  return static_cast<double>(table.Candidates(ServiceName(0)).size());
}

/** Memory of the queue, the classifier entries and one route of each service. */
double ServiceBytes(std::size_t services) {
  return MeasureAllocatedBytes([&] {
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
  return MeasureAllocatedBytes([&] {
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
  UpsertAll(table, workers, kTimestamp);
  const auto selector = routing::MakeWorkerSelector(routing::SelectionPolicy::kLoadAware);
  RandomGenerator generator(1);
  const auto candidates = table.Candidates(workers.front().service);
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < selections; ++i) {
      DoNotOptimize(selector->Select(candidates, {}, kNow, generator));
    }
  });
}

}  // namespace

std::vector<Series> WorkerSeries() {
  const std::vector<std::size_t> operations{20'000, 40'000, 60'000, 80'000};
  return {{"worker.table_memory", "worker", "B", kMemoryWorkerCounts, TableBytes, 1},
          {"worker.add", "worker", "us", kTimeWorkerCounts, AddMicros, kSlowSeriesMaxRuns},
          {"worker.refresh", "worker", "us", kTimeWorkerCounts, RefreshMicros, kSlowSeriesMaxRuns},
          {"worker.leave", "worker", "us", kTimeWorkerCounts, LeaveMicros, kSlowSeriesMaxRuns},
          {"worker.subset_update", "entry VM", "us", kVmCounts, SubsetMicros},
          {"worker.connections", "entry VM", "connections", kVmCounts, ConnectionsPerWorker, 1},
          {"worker.subset_size", "entry VM", "workers", kVmCounts, SubsetSize, 1},
          {"service.memory", "service", "B", {64, 128, 192, 250}, ServiceBytes},
          {"route.memory", "route", "B", {128, 256, 512, 1024}, RouteBytes},
          {"call.select", "selection", "us", operations, SelectMicros}};
}

}  // namespace qh::capacity
