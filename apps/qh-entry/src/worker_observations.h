#pragma once

#include <optional>
#include <string_view>

#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/routing/worker_selector.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"
#include "worker_pool.h"

namespace qh::entry {

/** Returns what the end of an attempt says about its worker. */
routing::RequestOutcome OutcomeOf(AttemptEnd end, int status);

/** Parses "<in progress>/<slots>". */
std::optional<routing::LoadReport> ParseLoad(std::string_view text, TimePoint now);

/** A worker that overload makes answer 503 is not leaving: the body has to say so. */
bool IsDrainingResponse(const http::HttpResponse& response);

/** Returns the selection policy that the settings name. */
routing::SelectionPolicy ToSelectionPolicy(vm_settings::RoutingPolicy policy);

}  // namespace qh::entry
