#include "quetzalhinge/standin/json_http.h"

namespace qh::standin {

using nlohmann::json;

http::HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump(), false};
}

http::HttpResponse WithJsonObject(std::string_view body,
                                  const std::function<http::HttpResponse(const json&)>& handler) {
  try {
    const json object = json::parse(body);
    if (!object.is_object()) {
      return JsonResponse(400, {{"message", "the body is not a JSON object"}});
    }
    return handler(object);
  } catch (const json::exception& error) {
    return JsonResponse(400, {{"message", error.what()}});
  }
}

}  // namespace qh::standin
