#pragma once

#include <optional>
#include <string_view>

#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/routing/worker_selector.h"
#include "quetzalhinge/vm_settings/entry_vm_settings.h"
#include "worker_pool.h"

namespace qh::entry {

/** Returns the outcome that is recorded for the worker; `status` is used only for kAnswered. */
routing::RequestOutcome OutcomeOf(AttemptEnd end, int status);

/** Parses the value "<in progress>/<slots>" of the header x-qh-load. */
std::optional<routing::LoadReport> ParseLoad(std::string_view text, TimePoint now);

/**
 * Returns whether a health response reports that the worker is draining. Status 503 alone is
 * not sufficient, because overloaded workers send it too: the body must report it.
 */
bool IsDrainingResponse(const http::HttpResponse& response);

/** Converts the routing policy of the settings. */
routing::SelectionPolicy ToSelectionPolicy(vm_settings::RoutingPolicy policy);

}  // namespace qh::entry
