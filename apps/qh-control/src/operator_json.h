#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
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

/** Returns the response {"code","message"}. */
http::HttpResponse ErrorResponse(int status, const std::string& code, const std::string& message);

/** Parses the body of PUT or DELETE; the alternative is the response that refuses it. */
std::variant<ContractCommand, http::HttpResponse> ParseCommand(const std::string& method,
                                                               const std::string& customer,
                                                               const std::string& body);

/** Returns the answer to a command. */
http::HttpResponse ToResponse(const CommandResult& result);

nlohmann::json ContractListJson(const contract::ContractBook& book);

nlohmann::json StatusJson(const ControlContext& context, const contract::ContractBook& book,
                          const EntryLink& entry, const membership::MemberTable& members);

/** A worker is leaving if the list or a notice says so. */
nlohmann::json WorkersJson(const std::vector<platform::VmRecord>& workers,
                           const std::vector<membership::Notice>& notices);

/** Reads the filter from the query of a time line request. */
timeline::EventFilter ParseEventFilter(const std::string& path_and_query);

/** Returns the filter as the entry takes it: the parameters of the query as JSON object. */
std::string ToJsonText(const timeline::EventFilter& filter);

/** Merges own events with the entry's JSON array; an array of another form is left out. */
nlohmann::json TimelineJson(std::vector<timeline::Event> control_events,
                            const std::string& entry_events);

}  // namespace qh::control
