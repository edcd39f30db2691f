#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/http/connection_server.h"
#include "quetzalhinge/http/memory_budget.h"
#include "quetzalhinge/metrics/metrics_registry.h"

namespace qh::overload {

/** Connections to one listening address. */
struct ListenerUsage {
  std::size_t open = 0;
  /** Limit on the connections that `replaced` and `not_accepted` follow from. */
  std::size_t max_connections = 0;
  /** Numbers of connections that were closed for new ones, or as soon as they were accepted. */
  std::size_t replaced = 0;
  std::size_t not_accepted = 0;
};

/**
 * Reports what the limits of a ProcessCapacity reject: as metrics, and in a log line for each limit
 * that has rejected anything since its last line, at most once per second.
 */
class OverloadMonitor {
 public:
  /** The metrics must outlive the monitor. */
  OverloadMonitor(metrics::MetricsRegistry& metrics,
                  std::shared_ptr<const http::MemoryBudget> message_memory);

  /** Reports the connections to the address `listener`. */
  void Watch(const std::string& listener, std::function<ListenerUsage()> usage);

  /** Reports the connections to `server`, which must outlive the monitor. */
  void Watch(const std::string& listener, const http::ConnectionServer& server);

  /** Updates the metrics and logs what has been rejected. To be called several times a second. */
  void Update(TimePoint now);

 private:
  /** What was known of a limit when its last line was logged. */
  struct Reported {
    std::size_t rejected = 0;
    TimePoint at{};
  };

  void UpdateMessages(http::MessageKind kind, TimePoint now);
  void UpdateConnections(const std::string& listener, const ListenerUsage& usage, TimePoint now);

  /** Returns whether a line about the limit `name` is due, and takes it as logged. */
  bool IsLineDue(const std::string& name, std::size_t rejected, TimePoint now);

  metrics::MetricsRegistry& m_metrics;
  std::shared_ptr<const http::MemoryBudget> m_message_memory;
  std::map<std::string, std::function<ListenerUsage()>> m_listeners;
  std::map<std::string, Reported> m_reported;
};

}  // namespace qh::overload
