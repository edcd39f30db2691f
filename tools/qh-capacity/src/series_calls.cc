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
constexpr UnixMicros kStamp = 1'796'378'000'000'000;
constexpr std::size_t kTypicalResponseBytes = 1024;
constexpr std::size_t kRingCapacity = 20'000;
/** Makes the fit not finite, so that the run fails. */
constexpr double kNotMeasured = std::numeric_limits<double>::quiet_NaN();
const std::vector<std::size_t> kOperations{20'000, 40'000, 60'000, 80'000};

idempotency::RequestKey SampleKey(std::size_t index) {
  return {{"jb-1", "6f0c2d91a4"}, kStamp / 1'000'000, "9d2f0c4e9d2f0c4e", std::to_string(index)};
}

idempotency::StoredResponse SampleResponse(std::size_t body_bytes) {
  return {200, {{"content-type", "application/json"}}, std::string(body_bytes, 'x')};
}

/** Begins and finishes `count` keys, each with a stored response. */
void RunKeys(KeyTable& table, std::size_t count, std::size_t body_bytes) {
  for (std::size_t i = 0; i < count; ++i) {
    const idempotency::BeginResult begun = table.Begin(SampleKey(i), i, kStamp);
    table.FinishDone(std::get<idempotency::KeyStarted>(begun).ticket, SampleResponse(body_bytes));
  }
}

std::unique_ptr<KeyTable> MakeKeyTable() {
  RandomGenerator generator(1);
  return std::make_unique<KeyTable>(idempotency::KeyHolder{"jb-1", "6f0c2d91a4"},
                                    idempotency::KeyTableOptions{}, generator);
}

double KeyMicros(std::size_t calls) {
  const auto table = MakeKeyTable();
  return MicrosOf([&] { RunKeys(*table, calls, kTypicalResponseBytes); });
}

double KeyBytes(std::size_t calls) {
  return BytesOf([&] {
    auto table = MakeKeyTable();
    RunKeys(*table, calls, 0);
    return table;
  });
}

/** Bytes of a thousand kept keys by the size of their stored responses. */
double StoredResponseBytes(std::size_t body_bytes) {
  constexpr std::size_t kKeys = 1000;
  return BytesOf([&] {
           auto table = MakeKeyTable();
           RunKeys(*table, kKeys, body_bytes);
           return table;
         }) /
         kKeys;
}

double FingerprintMicros(std::size_t calls) {
  const std::string body(kTypicalResponseBytes, 'x');
  return MicrosOf([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      KeepResult(idempotency::RequestFingerprint("customer-1", "POST", "/orders", body));
    }
  });
}

double AdmitMicros(std::size_t calls) {
  limits::RateShareOptions options;
  options.customer = CustomerName(1);
  limits::CustomerAdmission admission(options, {{10'000'000, 10'000'000}, 100},
                                      kNow - std::chrono::minutes(1), kNow);
  std::size_t admitted = 0;
  const double micros = MicrosOf([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const limits::Admission admission_result =
          admission.TryAdmit(kNow + std::chrono::microseconds(i));
      admitted += admission_result.decision == limits::AdmissionDecision::kAdmitted ? 1 : 0;
      admission.Finish();
    }
  });
  return admitted == calls ? micros : kNotMeasured;
}

/** A queue that stays half full, with calls of 20 customers. */
double QueueMicros(std::size_t calls) {
  constexpr std::size_t kHeld = 128;
  constexpr std::size_t kCustomers = 20;
  limits::AdmissionQueue queue(2 * kHeld);
  const auto push = [&](std::size_t id) {
    queue.Push({id, CustomerName(id % kCustomers), limits::PriorityClass::kNormal,
                kNow + std::chrono::seconds(10), std::chrono::milliseconds(3)},
               kNow);
  };
  for (std::size_t i = 0; i < kHeld; ++i) {
    push(i);
  }
  const double micros = MicrosOf([&] {
    for (std::size_t i = kHeld; i < kHeld + calls; ++i) {
      push(i);
      KeepResult(queue.Pop(kNow));
    }
  });
  // A push that was refused costs something else.
  return queue.Size() == kHeld ? micros : kNotMeasured;
}

double ClassifyMicros(std::size_t calls) {
  routing::RouteClassifier classifier;
  return MicrosOf([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const routing::Route route = routing::RouteOf("service-1", "GET", "/stock/4711/price");
      KeepResult(classifier.ProfileOf(route));
      classifier.Record(route, std::chrono::microseconds(3000 + i % 1000),
                        kNow + std::chrono::microseconds(i));
    }
  });
}

double WorkerBooksMicros(std::size_t calls) {
  const auto workers = SampleWorkers(kWorkersPerService);
  routing::WorkerTable table(routing::WorkerTableOptions{});
  for (const routing::WorkerInfo& worker : workers) {
    table.Upsert(worker,
                 {routing::WorkerState::kLive, routing::ObservationSource::kVmList, kStamp, ""},
                 kNow);
  }
  const routing::RequestEnd end{routing::WorkClass::kShort, routing::RequestOutcome::kSucceeded,
                                std::chrono::milliseconds(3), std::chrono::milliseconds(3)};
  return MicrosOf([&] {
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
  return MicrosOf([&] {
    for (std::size_t i = 0; i < calls; ++i) {
      const TimePoint now = kNow + std::chrono::microseconds(i);
      KeepResult(suspects.QuarantineLeft(i, now));
      suspects.OnSucceeded(i, now);
    }
  });
}

timeline::Event SampleEvent(std::size_t index) {
  return {{kStamp, 0},  "jb-1",         "qh-entry",     "attempt_ended",
          ToHex(index), "customer-101", "10.20.1.7:80", "status 200 ok."};
}

/** Three events a call (attempt started, attempt ended, call ended) in a ring that is full. */
double EventMicros(std::size_t calls) {
  timeline::EventRing ring(kRingCapacity);
  for (std::size_t i = 0; i < kRingCapacity; ++i) {
    ring.Add(SampleEvent(i));
  }
  return MicrosOf([&] {
    for (std::size_t i = 0; i < 3 * calls; ++i) {
      ring.Add(SampleEvent(i));
    }
  });
}

double EventBytes(std::size_t events) {
  return BytesOf([&] {
    auto ring = std::make_unique<timeline::EventRing>(kRingCapacity);
    for (std::size_t i = 0; i < events; ++i) {
      ring->Add(SampleEvent(i));
    }
    return ring;
  });
}

/** Two histograms and a counter, looked up by name as the entry does. */
double MetricsMicros(std::size_t calls) {
  metrics::MetricsRegistry registry;
  return MicrosOf([&] {
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
      {"call.key", "call", "us", kOperations, KeyMicros},
      {"call.key_memory", "key", "B", {20'000, 50'000, 100'000, 200'000}, KeyBytes},
      {"call.stored_response", "body byte", "B", {256, 1024, 4096, 16'384}, StoredResponseBytes},
      {"call.fingerprint", "call", "us", kOperations, FingerprintMicros},
      {"call.admit", "call", "us", kOperations, AdmitMicros},
      {"call.queue", "call", "us", kOperations, QueueMicros},
      {"call.classify", "call", "us", kOperations, ClassifyMicros},
      {"call.worker_books", "call", "us", kOperations, WorkerBooksMicros},
      {"call.suspects", "call", "us", kOperations, SuspectsMicros},
      {"call.events", "call", "us", kOperations, EventMicros},
      {"call.event_memory", "event", "B", {5'000, 10'000, 15'000, 20'000}, EventBytes},
      {"call.metrics", "call", "us", kOperations, MetricsMicros}};
}

}  // namespace qh::capacity
