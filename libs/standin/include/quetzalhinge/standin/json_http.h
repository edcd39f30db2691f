#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "quetzalhinge/http/http_message.h"

namespace qh::standin {

/** Returns a response with a JSON body. */
http::HttpResponse JsonResponse(int status, const nlohmann::json& body);

/**
 * Parses `body` as a JSON object and passes it to `use`. Returns the response of `use`, or 400
 * with the reason if the text is no object or `use` meets a value of the wrong type.
 */
http::HttpResponse WithJsonObject(
    const std::string& body,
    const std::function<http::HttpResponse(const nlohmann::json& object)>& use);

/** Sets `target` to the member `name` of `object` if there is one; throws on a wrong type. */
template <typename Value>
void ReadMember(const nlohmann::json& object, const char* name, Value& target) {
  const auto member = object.find(name);
  if (member != object.end()) {
    target = member->get<Value>();
  }
}

}  // namespace qh::standin
