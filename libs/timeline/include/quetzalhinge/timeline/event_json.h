#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "quetzalhinge/timeline/event.h"

namespace qh::timeline {

/** Returns the JSON object of an event; empty fields are left out. */
nlohmann::json ToJson(const Event& event);

/** Parses the JSON object of an event; returns nothing if it has another form. */
std::optional<Event> EventFromJson(const nlohmann::json& json);

}  // namespace qh::timeline
