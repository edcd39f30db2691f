#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "quetzalhinge/base/error.h"

namespace qh::standin {

/** What a stand-in worker's answer is made from. */
struct AnswerParts {
  std::string worker;
  std::string request_id;
  /** Query of the request's path, without '?'. It makes requests without a body distinct. */
  std::string query;
  std::string request_body;
  /** Bytes of filling, so that answers have a length worth cutting. */
  std::size_t padding_bytes = 0;
};

/** Returns the query of `path`, without '?'; empty if there is none. */
std::string_view QueryOf(std::string_view path) noexcept;

/** Returns the JSON body of a worker's answer, with a checksum of request id, query and body. */
std::string MakeAnswerBody(const AnswerParts& parts);

/**
 * Checks that `answer` is a whole answer to the request with this query and body.
 * @return the request id that the worker saw, or what is wrong
 */
Result<std::string> CheckAnswerBody(std::string_view answer, std::string_view query,
                                    std::string_view request_body);

}  // namespace qh::standin
