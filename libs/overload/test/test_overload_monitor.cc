#include <catch2/catch.hpp>
#include <memory>

#include "quetzalhinge/overload/overload_monitor.h"

namespace qh::overload {

using http::MessageKind;

SCENARIO("The monitor reports the messages that are rejected") {
  metrics::MetricsRegistry metrics;
  const auto memory = std::make_shared<http::MemoryBudget>(1000);
  OverloadMonitor monitor(metrics, memory);
  http::MemoryReservation request(memory, MessageKind::kRequest, [] {});
  http::MemoryReservation response(memory, MessageKind::kResponse, [] {});
  REQUIRE(request.Resize(300));
  REQUIRE(response.Resize(200));
  CHECK_FALSE(http::MemoryReservation(memory, MessageKind::kRequest, [] {}).Resize(600));
  monitor.Update(TimePoint(std::chrono::seconds(1)));
  CHECK(metrics.GaugeOf("qh_request_bytes").Value() == 300);
  CHECK(metrics.GaugeOf("qh_requests_rejected_for_memory").Value() == 1);
  CHECK(metrics.GaugeOf("qh_worker_response_bytes").Value() == 200);
  CHECK(metrics.GaugeOf("qh_worker_responses_rejected_for_memory").Value() == 0);
}

}  // namespace qh::overload
