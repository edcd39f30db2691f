#include "event_log.h"

#include <utility>

namespace qh::control {

EventLog::EventLog(std::string vm, std::size_t capacity) : m_vm(std::move(vm)), m_ring(capacity) {}

void EventLog::Add(const std::string& kind, EventDetails details) {
  timeline::Event event;
  event.stamp = m_clock.Tick(UnixNow());
  event.vm = m_vm;
  event.process = "qh-control";
  event.kind = kind;
  event.customer = std::move(details.customer);
  event.worker = std::move(details.worker);
  event.detail = std::move(details.detail);
  m_ring.Add(std::move(event));
}

std::vector<timeline::Event> EventLog::Select(const timeline::EventFilter& filter) const {
  return m_ring.Select(filter);
}

}  // namespace qh::control
