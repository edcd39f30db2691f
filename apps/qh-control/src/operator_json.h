#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "contract_acceptance.h"
#include "contract_task.h"
#include "entry_link.h"
#include "quetzalhinge/gossip/gossip_task.h"
#include "quetzalhinge/http/http_message.h"
#include "quetzalhinge/timeline/event_ring.h"

namespace qh::control {

/** Returns a response with a JSON body. */
http::HttpResponse JsonResponse(int status, const nlohmann::json& body);

/** Returns a response with the JSON body {"code", "message"}. */
http::HttpResponse ErrorResponse(int status, const std::string& code, const std::string& message);

/** Parses the body of PUT or DELETE; returns an error response if it is invalid. */
std::variant<ContractCommand, http::HttpResponse> ParseCommand(const std::string& method,
                                                               const std::string& customer,
                                                               std::string_view body);

/** Converts the result of a command to its HTTP response. */
http::HttpResponse ToResponse(const CommandResult& result);

nlohmann::json ContractListJson(const contract::ContractBook& book);

nlohmann::json StatusJson(const ControlContext& context, const contract::ContractBook& book,
                          const EntryLink& entry, const membership::MemberTable& members);

/** Lists the workers. A worker is leaving if the VM list or a notice says so. */
nlohmann::json WorkersJson(const std::vector<platform::VmRecord>& workers,
                           const std::vector<membership::Notice>& notices);

/** Parses the event filter from the query of a timeline request. */
timeline::EventFilter ParseEventFilter(const std::string& path_and_query);

/** Returns the filter as the entry expects it: the query parameters as a JSON object. */
std::string ToJsonText(const timeline::EventFilter& filter);

/**
 * Merges the events of qh-control with the entry's events, a JSON array. Ignores malformed
 * elements, and all of `entry_events` if it is not an array.
 */
nlohmann::json TimelineJson(std::vector<timeline::Event> control_events,
                            const std::string& entry_events);

}  // namespace qh::control
