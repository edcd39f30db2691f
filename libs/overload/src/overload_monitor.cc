#include "quetzalhinge/overload/overload_monitor.h"

#include <chrono>
#include <utility>

#include "quetzalhinge/logging/log.h"

namespace qh::overload {
namespace {

constexpr std::chrono::milliseconds kLineInterval{1000};

/** Names of what is reported about the messages of a kind. */
struct MessageNames {
  const char* bytes_metric;
  const char* rejected_metric;
  const char* log_step;
};

MessageNames NamesOf(http::MessageKind kind) {
  if (kind == http::MessageKind::kRequest) {
    return {"qh_request_bytes", "qh_requests_rejected_for_memory", "requests rejected for memory"};
  }
  return {"qh_worker_response_bytes", "qh_worker_responses_rejected_for_memory",
          "responses rejected for memory"};
}

}  // namespace

OverloadMonitor::OverloadMonitor(metrics::MetricsRegistry& metrics,
                                 std::shared_ptr<const http::MemoryBudget> message_memory)
    : m_metrics(metrics), m_message_memory(std::move(message_memory)) {}

void OverloadMonitor::Watch(const std::string& listener, std::function<ListenerUsage()> usage) {
  m_listeners[listener] = std::move(usage);
}

void OverloadMonitor::Watch(const std::string& listener, const http::ConnectionServer& server) {
  Watch(listener, [&server] {
    return ListenerUsage{server.OpenConnections(), server.Limits().max_connections,
                         server.Closed().replaced, server.Closed().not_accepted};
  });
}

void OverloadMonitor::Update(TimePoint now) {
  for (const auto& [listener, usage] : m_listeners) {
    UpdateConnections(listener, usage(), now);
  }
  UpdateMessages(http::MessageKind::kRequest, now);
  UpdateMessages(http::MessageKind::kResponse, now);
}

void OverloadMonitor::UpdateMessages(http::MessageKind kind, TimePoint now) {
  const MessageNames names = NamesOf(kind);
  const std::size_t rejected = m_message_memory->RejectedMessages(kind);
  m_metrics.GaugeOf(names.bytes_metric).Set(static_cast<double>(m_message_memory->Reserved(kind)));
  m_metrics.GaugeOf(names.rejected_metric).Set(static_cast<double>(rejected));
  if (IsLineDue(names.log_step, rejected, now)) {
    const http::MemoryBudgetOptions& limits = m_message_memory->Options();
    logging::LogChange(
        "overload", names.log_step,
        {{"rejected", std::to_string(rejected)},
         {"request_bytes", std::to_string(m_message_memory->Reserved(http::MessageKind::kRequest))},
         {"response_bytes",
          std::to_string(m_message_memory->Reserved(http::MessageKind::kResponse))},
         {"max_bytes", std::to_string(limits.max_bytes)},
         {"max_bytes_for_large_requests", std::to_string(limits.max_bytes_for_large_requests)},
         {"max_bytes_for_large_responses", std::to_string(limits.max_bytes_for_large_responses)}});
  }
}

void OverloadMonitor::UpdateConnections(const std::string& listener, const ListenerUsage& usage,
                                        TimePoint now) {
  const std::string label = "listener=\"" + listener + "\"";
  m_metrics.GaugeOf("qh_connections", label).Set(static_cast<double>(usage.open));
  m_metrics.GaugeOf("qh_connections_replaced", label).Set(static_cast<double>(usage.replaced));
  m_metrics.GaugeOf("qh_connections_not_accepted", label)
      .Set(static_cast<double>(usage.not_accepted));
  if (IsLineDue(listener, usage.replaced + usage.not_accepted, now)) {
    logging::LogChange("overload", "connections closed for others",
                       {{"listener", listener},
                        {"replaced", std::to_string(usage.replaced)},
                        {"not_accepted", std::to_string(usage.not_accepted)},
                        {"max_connections", std::to_string(usage.max_connections)}});
  }
}

bool OverloadMonitor::IsLineDue(const std::string& name, std::size_t rejected, TimePoint now) {
  Reported& reported = m_reported[name];
  if (rejected == reported.rejected || now - reported.at < kLineInterval) {
    return false;
  }
  reported = {rejected, now};
  return true;
}

}  // namespace qh::overload
