#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>

#include "quetzalhinge/http/http_message.h"

namespace qh::standin {

/** Returns a response with a JSON body. */
http::HttpResponse JsonResponse(int status, const nlohmann::json& body);

/**
 * Parses `body` as a JSON object and returns the response of `handler` for it. Returns 400 with the
 * reason if the text is not a JSON object or `handler` throws nlohmann::json::exception.
 */
http::HttpResponse WithJsonObject(
    std::string_view body,
    const std::function<http::HttpResponse(const nlohmann::json& object)>& handler);

/**
 * Sets `target` to the member `name` of `object` if it is present. Throws nlohmann::json::exception
 * if the value has the wrong type.
 */
template <typename Value>
void ReadMember(const nlohmann::json& object, const char* name, Value& target) {
  const auto member = object.find(name);
  if (member != object.end()) {
    target = member->get<Value>();
  }
}

}  // namespace qh::standin
