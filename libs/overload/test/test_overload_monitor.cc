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

SCENARIO("The monitor reports the connections that are closed for others") {
  metrics::MetricsRegistry metrics;
  OverloadMonitor monitor(metrics, std::make_shared<http::MemoryBudget>(1000));
  ListenerUsage usage{3, 4, 0, 0};
  monitor.Watch("callers", [&usage] { return usage; });
  monitor.Update(TimePoint(std::chrono::seconds(1)));
  CHECK(metrics.GaugeOf("qh_connections", "listener=\"callers\"").Value() == 3);
  usage = {4, 4, 7, 2};
  monitor.Update(TimePoint(std::chrono::seconds(2)));
  CHECK(metrics.GaugeOf("qh_connections_replaced", "listener=\"callers\"").Value() == 7);
  CHECK(metrics.GaugeOf("qh_connections_not_accepted", "listener=\"callers\"").Value() == 2);
}

}  // namespace qh::overload
