#include "quetzalhinge/timeline/event_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string>

namespace qh::timeline {
namespace {

/** A string field of Event and its name in JSON. */
struct EventField {
  const char* name;
  std::string Event::*member;
};

constexpr std::array<EventField, 7> kEventFields{{{"vm", &Event::vm},
                                                  {"process", &Event::process},
                                                  {"kind", &Event::kind},
                                                  {"request_id", &Event::request_id},
                                                  {"customer", &Event::customer},
                                                  {"worker", &Event::worker},
                                                  {"detail", &Event::detail}}};

}  // namespace

nlohmann::json ToJson(const Event& event) {
  nlohmann::json json{{"wall_us", event.stamp.wall_us}, {"counter", event.stamp.counter}};
  for (const EventField& field : kEventFields) {
    if (!(event.*field.member).empty()) {
      json[field.name] = event.*field.member;
    }
  }
  return json;
}

std::optional<Event> EventFromJson(const nlohmann::json& json) {
  try {
    Event event;
    event.stamp.wall_us = json.at("wall_us").get<UnixMicros>();
    event.stamp.counter = json.at("counter").get<std::uint32_t>();
    for (const EventField& field : kEventFields) {
      event.*field.member = json.value(field.name, "");
    }
    return event;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace qh::timeline
