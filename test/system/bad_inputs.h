#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace qh::test {

/** Larger than the limit of h2o for a message head. */
constexpr std::size_t kHugeBytes = 200000;

/** Malformed or oversized bytes from a caller, and the expected error response. */
struct BadInput {
  const char* name;
  std::string bytes;
  int status;
  const char* code;
};

/**
 * Returns a call of an idempotent route, which would reach a worker if its framing were accepted.
 */
inline std::string MakeRawCall(const std::string& fields, const std::string& body) {
  return "GET /svc/gudang/orders HTTP/1.1\r\nhost: entry\r\nx-qh-customer: semarang\r\n" + fields +
         "\r\n" + body;
}

/** Returns one input for each kind of framing, syntax and size error. */
inline std::vector<BadInput> BadInputs() {
  const std::string chunked_body = "5\r\nhello\r\n0\r\n\r\n";
  return {
      {"two lengths", MakeRawCall("content-length: 5\r\ncontent-length: 6\r\n", "hello!"), 400,
       "ambiguous_framing"},
      {"the same length twice", MakeRawCall("content-length: 5\r\ncontent-length: 5\r\n", "hello"),
       400, "ambiguous_framing"},
      {"a length with chunked coding",
       MakeRawCall("content-length: 5\r\ntransfer-encoding: chunked\r\n", chunked_body), 400,
       "ambiguous_framing"},
      {"chunked coding with a length",
       MakeRawCall("transfer-encoding: chunked\r\ncontent-length: 5\r\n", chunked_body), 400,
       "ambiguous_framing"},
      {"an unknown transfer coding",
       MakeRawCall("transfer-encoding: gzip, chunked\r\n", chunked_body), 400, "ambiguous_framing"},
      {"a non-numeric length", MakeRawCall("content-length: 5x\r\n", "hello"), 400,
       "ambiguous_framing"},
      {"a negative length", MakeRawCall("content-length: -1\r\n", ""), 400, "ambiguous_framing"},
      {"an incomplete request line", "GARBAGE\r\n\r\n", 400, "malformed_request"},
      {"a header field without a colon",
       "GET /svc/gudang/orders HTTP/1.1\r\nhost: entry\r\nnonsense\r\n\r\n", 400,
       "malformed_request"},
      {"a non-numeric chunk size",
       MakeRawCall("transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"), 400,
       "malformed_request"},
      {"an oversized message head",
       MakeRawCall("x-filling: " + std::string(kHugeBytes, 'x') + "\r\ncontent-length: 0\r\n", ""),
       431, "headers_too_large"},
      {"too many header fields",
       MakeRawCall(
           [] {
             std::string fields;
             for (int i = 0; i < 500; ++i) {
               fields += "x-field-" + std::to_string(i) + ": 1\r\n";
             }
             return fields;
           }(),
           ""),
       431, "headers_too_large"},
      {"an oversized body", MakeRawCall("content-length: 50000000\r\n", std::string(100000, 'x')),
       413, "body_too_large"},
  };
}

}  // namespace qh::test
