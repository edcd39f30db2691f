#include <limits>
#include <memory>
#include <utility>

#include "all_series.h"
#include "process_usage.h"
#include "quetzalhinge/idempotency/key_table.h"
#include "quetzalhinge/limits/admission_queue.h"
#include "quetzalhinge/limits/customer_admission.h"
#include "quetzalhinge/metrics/metrics_registry.h"
#include "quetzalhinge/quarantine/crash_suspects.h"
#include "quetzalhinge/routing/route_classifier.h"
#include "quetzalhinge/routing/worker_table.h"
#include "quetzalhinge/timeline/event_ring.h"
#include "samples.h"

namespace qh::capacity {
namespace {

using idempotency::KeyTable;

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr UnixMicros kTimestamp = 1'796'378'000'000'000;
constexpr std::size_t kTypicalResponseBytes = 1024;
constexpr std::size_t kRingCapacity = 20'000;
/** Result of a failed measurement. NaN makes the line fit not finite, so that the program fails. */
constexpr double kInvalidMeasurement = std::numeric_limits<double>::quiet_NaN();
const std::vector<std::size_t> kOperationCounts{20'000, 40'000, 60'000, 80'000};

idempotency::RequestKey SampleKey(std::size_t index) {
  return {
      {"jb-1", "6f0c2d91a4"}, kTimestamp / 1'000'000, "9d2f0c4e9d2f0c4e", std::to_string(index)};
}

idempotency::StoredResponse SampleResponse(std::size_t body_bytes) {
  return {200, {{"content-type", "application/json"}}, std::string(body_bytes, 'x')};
}

/** Begins and finishes `count` keys. Each stores a response with `body_bytes` bytes of body. */
void BeginAndFinishKeys(KeyTable& table, std::size_t count, std::size_t body_bytes) {
  for (std::size_t i = 0; i < count; ++i) {
    const idempotency::BeginResult begin_result = table.Begin(SampleKey(i), i, kTimestamp);
    table.FinishDone(std::get<idempotency::KeyStarted>(begin_result).ticket,
                     SampleResponse(body_bytes));
  }
}

std::unique_ptr<KeyTable> MakeKeyTable() {
  RandomGenerator generator(1);
  return std::make_unique<KeyTable>(idempotency::KeyHolder{"jb-1", "6f0c2d91a4"},
                                    idempotency::KeyTableOptions{}, generator);
}

double KeyMicros(std::size_t calls) {
  const auto table = MakeKeyTable();
  return MeasureCpuMicros([&] { BeginAndFinishKeys(*table, calls, kTypicalResponseBytes); });
}

double KeyBytes(std::size_t calls) {
  return MeasureAllocatedBytes([&] {
    auto table = MakeKeyTable();
    BeginAndFinishKeys(*table, calls, 0);
    return table;
  });
}

/** Bytes of one key and its stored response, as the mean over 1,000 keys. */
double StoredResponseBytes(std::size_t body_bytes) {
  constexpr std::size_t kKeys = 1000;
  return MeasureAllocatedBytes([&] {
           auto table = MakeKeyTable();
           BeginAndFinishKeys(*table, kKeys, body_bytes);
           return table;
         }) /
         kKeys;
}

double FingerprintMicros(std::size_t calls) {
  const std::string body(kTypicalResponseBytes, 'x');
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      DoNotOptimize(idempotency::RequestFingerprint("customer-1", "POST", "/orders", body));
    }
  });
}

double AdmitMicros(std::size_t calls) {
  limits::RateShareOptions options;
  options.customer = CustomerName(1);
  limits::CustomerAdmission admission(options, {{10'000'000, 10'000'000}, 100},
                                      kNow - std::chrono::minutes(1), kNow);
  std::size_t admitted = 0;
  const double micros = MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const limits::Admission result = admission.TryAdmit(kNow + std::chrono::microseconds(i));
      admitted += result.decision == limits::AdmissionDecision::kAdmitted ? 1 : 0;
      admission.Finish();
    }
  });
  return admitted == calls ? micros : kInvalidMeasurement;
}

/** Time to push and pop calls of 20 customers on a queue that stays half full. */
double QueueMicros(std::size_t calls) {
  constexpr std::size_t kQueuedCalls = 128;
  constexpr std::size_t kCustomers = 20;
  limits::AdmissionQueue queue(2 * kQueuedCalls);
  const auto push = [&](std::size_t id) {
    queue.Push({id, CustomerName(id % kCustomers), limits::PriorityClass::kNormal,
                kNow + std::chrono::seconds(10), std::chrono::milliseconds(3)},
               kNow);
  };
  for (std::size_t i = 0; i < kQueuedCalls; ++i) {
    push(i);
  }
  const double micros = MeasureCpuMicros([&] {
    for (std::size_t i = kQueuedCalls; i < kQueuedCalls + calls; ++i) {
      push(i);
      DoNotOptimize(queue.Pop(kNow));
    }
  });
  // The size changes if the queue rejects a push. A rejected push has a different cost, so the
  // measurement is then invalid.
  return queue.Size() == kQueuedCalls ? micros : kInvalidMeasurement;
}

double ClassifyMicros(std::size_t calls) {
  routing::RouteClassifier classifier;
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const routing::Route route = routing::RouteOf("service-1", "GET", "/stock/4711/price");
      DoNotOptimize(classifier.ProfileOf(route));
      classifier.Record(route, std::chrono::microseconds(3000 + i % 1000),
                        kNow + std::chrono::microseconds(i));
    }
  });
}

double WorkerAccountingMicros(std::size_t calls) {
  const auto workers = SampleWorkers(kWorkersPerService);
  routing::WorkerTable table(routing::WorkerTableOptions{});
  for (const routing::WorkerInfo& worker : workers) {
    table.Upsert(worker,
                 {routing::WorkerState::kLive, routing::ObservationSource::kVmList, kTimestamp, ""},
                 kNow);
  }
  const routing::RequestEnd end{routing::WorkClass::kShort, routing::RequestOutcome::kSucceeded,
                                std::chrono::milliseconds(3), std::chrono::milliseconds(3)};
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const std::string& id = workers[i % workers.size()].id;
      const TimePoint now = kNow + std::chrono::microseconds(i);
      table.Started(id, routing::WorkClass::kShort);
      table.Report(id, {3, 6, now});
      table.Finished(id, end, now);
    }
  });
}

double SuspectsMicros(std::size_t calls) {
  quarantine::CrashSuspects suspects;
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const TimePoint now = kNow + std::chrono::microseconds(i);
      DoNotOptimize(suspects.QuarantineLeft(i, now));
      suspects.OnSucceeded(i, now);
    }
  });
}

timeline::Event SampleEvent(std::size_t index) {
  return {{kTimestamp, 0}, "jb-1",         "qh-entry",     "attempt_ended",
          ToHex(index),    "customer-101", "10.20.1.7:80", "status 200 ok."};
}

/**
 * Time to add three events per call (attempt started, attempt ended, call ended) to a full ring.
 */
double EventMicros(std::size_t calls) {
  timeline::EventRing ring(kRingCapacity);
  for (std::size_t i = 0; i < kRingCapacity; ++i) {
    ring.Add(SampleEvent(i));
  }
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < 3 * calls; ++i) {
      ring.Add(SampleEvent(i));
    }
  });
}

double EventBytes(std::size_t events) {
  return MeasureAllocatedBytes([&] {
    auto ring = std::make_unique<timeline::EventRing>(kRingCapacity);
    for (std::size_t i = 0; i < events; ++i) {
      ring->Add(SampleEvent(i));
    }
    return ring;
  });
}

/** Time to update two histograms and a counter, looked up by name as in qh-entry. */
double MetricsMicros(std::size_t calls) {
  metrics::MetricsRegistry registry;
  return MeasureCpuMicros([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const std::chrono::microseconds value(3000 + i % 1000);
      registry.HistogramOf("qh_call_seconds").Record(value);
      registry.HistogramOf("qh_added_seconds").Record(value);
      registry.CounterOf("qh_calls_total", "outcome=\"ran\",code=\"ran\"").Add();
    }
  });
}

}  // namespace

std::vector<Series> CallSeries() {
  return {
      {"call.key", "call", "us", kOperationCounts, KeyMicros},
      {"call.key_memory", "key", "B", {20'000, 50'000, 100'000, 200'000}, KeyBytes},
      {"call.stored_response", "body byte", "B", {256, 1024, 4096, 16'384}, StoredResponseBytes},
      {"call.fingerprint", "call", "us", kOperationCounts, FingerprintMicros},
      {"call.admit", "call", "us", kOperationCounts, AdmitMicros},
      {"call.queue", "call", "us", kOperationCounts, QueueMicros},
      {"call.classify", "call", "us", kOperationCounts, ClassifyMicros},
      {"call.worker_books", "call", "us", kOperationCounts, WorkerAccountingMicros},
      {"call.suspects", "call", "us", kOperationCounts, SuspectsMicros},
      {"call.events", "call", "us", kOperationCounts, EventMicros},
      {"call.event_memory", "event", "B", {5'000, 10'000, 15'000, 20'000}, EventBytes},
      {"call.metrics", "call", "us", kOperationCounts, MetricsMicros}};
}

}  // namespace qh::capacity
