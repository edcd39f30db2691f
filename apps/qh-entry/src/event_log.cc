#include "event_log.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "quetzalhinge/base/time.h"
#include "quetzalhinge/timeline/event_json.h"

namespace qh::entry {

EventLog::EventLog(std::string vm, std::string process, std::size_t capacity)
    : m_vm(std::move(vm)), m_process(std::move(process)), m_ring(capacity) {}

void EventLog::Add(const char* kind, const std::string& request_id, const std::string& customer,
                   const std::string& worker, std::string detail) {
  m_ring.Add(timeline::Event{m_clock.Tick(UnixNow()), m_vm, m_process, kind, request_id, customer,
                             worker, std::move(detail)});
}

std::string EventLog::SelectJson(const timeline::EventFilter& filter) const {
  nlohmann::json events = nlohmann::json::array();
  for (const timeline::Event& event : m_ring.Select(filter)) {
    events.push_back(timeline::ToJson(event));
  }
  return events.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

timeline::EventFilter ParseEventFilter(const std::string& json_text) {
  timeline::EventFilter filter;
  const nlohmann::json json = nlohmann::json::parse(json_text, nullptr, false);
  if (!json.is_object()) {
    return filter;
  }
  try {
    filter.request_id = json.value("request", "");
    filter.customer = json.value("customer", "");
    filter.worker = json.value("worker", "");
    filter.vm = json.value("vm", "");
    filter.from_us = json.value("from_us", UnixMicros{0});
    filter.until_us = json.value("until_us", UnixMicros{0});
  } catch (const nlohmann::json::exception&) {
    return {};
  }
  return filter;
}

}  // namespace qh::entry
