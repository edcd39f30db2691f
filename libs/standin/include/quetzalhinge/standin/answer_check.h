#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"

namespace qh::standin {

/** Inputs of a stand-in worker's response body. */
struct ResponseBodyParts {
  std::string worker;
  std::string request_id;
  /** Query of the request path, without '?'. Distinguishes requests that have no body. */
  std::string query;
  std::string request_body;
  /** Bytes of padding, so that bodies are long enough to be truncated in tests. */
  std::size_t padding_bytes = 0;
};

/** Returns the query of `path` without '?'; empty if there is no query. */
std::string_view QueryOf(std::string_view path) noexcept;

/**
 * Returns the JSON body of a worker's response. It contains a checksum of the request id, the query
 * and the request body.
 */
std::string MakeResponseBody(const ResponseBodyParts& parts);

/**
 * Checks that `response_body` is complete and belongs to the request with this query and body.
 * @return the request id that the worker received, or a kProtocol error that describes the mismatch
 */
Result<std::string> CheckResponseBody(std::string_view response_body, std::string_view query,
                                      std::string_view request_body);

}  // namespace qh::standin
