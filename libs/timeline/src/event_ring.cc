#include "quetzalhinge/timeline/event_ring.h"

#include <algorithm>
#include <utility>

namespace qh::timeline {
namespace {

bool MatchesText(const std::string& expected, const std::string& actual) {
  return expected.empty() || expected == actual;
}

void CutText(std::string& text) {
  if (text.size() > EventRing::kMaxTextBytes) {
    // A new string, because resize() keeps the memory.
    text = std::string(text, 0, EventRing::kMaxTextBytes);
  }
}

}  // namespace

bool EventFilter::Matches(const Event& event) const {
  return MatchesText(request_id, event.request_id) && MatchesText(customer, event.customer) &&
         MatchesText(worker, event.worker) && MatchesText(vm, event.vm) &&
         (from_us == 0 || event.stamp.wall_us >= from_us) &&
         (until_us == 0 || event.stamp.wall_us <= until_us);
}

EventRing::EventRing(std::size_t capacity) : m_capacity(std::max<std::size_t>(1, capacity)) {}

void EventRing::Add(Event event) {
  for (std::string* text : {&event.vm, &event.process, &event.kind, &event.request_id,
                            &event.customer, &event.worker, &event.detail}) {
    CutText(*text);
  }
  if (m_events.size() < m_capacity) {
    m_events.push_back(std::move(event));
    return;
  }
  m_events[m_next] = std::move(event);
  m_next = (m_next + 1) % m_capacity;
  ++m_dropped;
}

std::vector<Event> EventRing::Select(const EventFilter& filter) const {
  std::vector<Event> selected;
  for (std::size_t i = 0; i < m_events.size(); ++i) {
    const Event& event = m_events[(m_next + i) % m_events.size()];
    if (filter.Matches(event)) {
      selected.push_back(event);
    }
  }
  return selected;
}

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> parts) {
  std::vector<Event> merged;
  for (std::vector<Event>& part : parts) {
    std::move(part.begin(), part.end(), std::back_inserter(merged));
  }
  std::stable_sort(merged.begin(), merged.end(),
                   [](const Event& a, const Event& b) { return a.stamp < b.stamp; });
  return merged;
}

}  // namespace qh::timeline
