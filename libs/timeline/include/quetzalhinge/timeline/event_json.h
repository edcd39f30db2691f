#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "quetzalhinge/timeline/event.h"

namespace qh::timeline {

/** Returns the JSON object of an event; empty fields are omitted. */
nlohmann::json ToJson(const Event& event);

/** Parses the JSON object of an event; returns std::nullopt if it is malformed. */
std::optional<Event> EventFromJson(const nlohmann::json& json);

}  // namespace qh::timeline
