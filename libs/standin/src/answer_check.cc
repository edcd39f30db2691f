#include "quetzalhinge/standin/answer_check.h"

#include <nlohmann/json.hpp>

#include "quetzalhinge/base/hash.h"
#include "quetzalhinge/base/random_id.h"

namespace qh::standin {
namespace {

using nlohmann::json;

std::string Checksum(std::string_view request_id, std::string_view query, std::string_view body) {
  std::string text(request_id);
  text += '\n';
  text += query;
  text += '\n';
  text += body;
  return ToHex(HashBytes(text));
}

Error ResponseMismatch(std::string detail) {
  return Error{ErrorCode::kProtocol, "check answer", "", std::move(detail)};
}

}  // namespace

std::string_view QueryOf(std::string_view path) noexcept {
  const std::size_t start = path.find('?');
  return start == std::string_view::npos ? "" : path.substr(start + 1);
}

std::string MakeResponseBody(const ResponseBodyParts& parts) {
  return json{{"worker", parts.worker},
              {"request_id", parts.request_id},
              {"padding_bytes", parts.padding_bytes},
              {"padding", std::string(parts.padding_bytes, 'x')},
              {"checksum", Checksum(parts.request_id, parts.query, parts.request_body)}}
      .dump();
}

Result<std::string> CheckResponseBody(std::string_view response_body, std::string_view query,
                                      std::string_view request_body) {
  const json object = json::parse(response_body, nullptr, false);
  if (!object.is_object()) {
    return ResponseMismatch("response body is truncated or not a JSON object: " +
                            std::to_string(response_body.size()) + " bytes");
  }
  try {
    auto request_id = object.at("request_id").get<std::string>();
    if (object.at("padding").get<std::string>().size() !=
        object.at("padding_bytes").get<std::size_t>()) {
      return ResponseMismatch("padding length differs from padding_bytes");
    }
    if (object.at("checksum").get<std::string>() != Checksum(request_id, query, request_body)) {
      return ResponseMismatch(
          "checksum does not match the request; the worker received request id " + request_id);
    }
    return request_id;
  } catch (const json::exception& error) {
    return ResponseMismatch(error.what());
  }
}

}  // namespace qh::standin
