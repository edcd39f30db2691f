#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace qh::test {

/** More than h2o reads as one head. */
constexpr std::size_t kHugeBytes = 200000;

/** Bytes of a caller and what it gets for them. */
struct BadInput {
  const char* name;
  std::string bytes;
  int status;
  const char* code;
};

/** A call of an idempotent route, which would reach a worker if its framing were accepted. */
inline std::string Call(const std::string& fields, const std::string& body) {
  return "GET /svc/gudang/orders HTTP/1.1\r\nhost: entry\r\nx-qh-customer: semarang\r\n" + fields +
         "\r\n" + body;
}

inline std::vector<BadInput> BadInputs() {
  const std::string chunked_body = "5\r\nhello\r\n0\r\n\r\n";
  return {
      {"two lengths", Call("content-length: 5\r\ncontent-length: 6\r\n", "hello!"), 400,
       "ambiguous_framing"},
      {"the same length twice", Call("content-length: 5\r\ncontent-length: 5\r\n", "hello"), 400,
       "ambiguous_framing"},
      {"a length with chunked coding",
       Call("content-length: 5\r\ntransfer-encoding: chunked\r\n", chunked_body), 400,
       "ambiguous_framing"},
      {"chunked coding with a length",
       Call("transfer-encoding: chunked\r\ncontent-length: 5\r\n", chunked_body), 400,
       "ambiguous_framing"},
      {"a coding that is not known", Call("transfer-encoding: gzip, chunked\r\n", chunked_body),
       400, "ambiguous_framing"},
      {"a length that is no number", Call("content-length: 5x\r\n", "hello"), 400,
       "ambiguous_framing"},
      {"a negative length", Call("content-length: -1\r\n", ""), 400, "ambiguous_framing"},
      {"a request line without its parts", "GARBAGE\r\n\r\n", 400, "malformed_request"},
      {"a field without a colon",
       "GET /svc/gudang/orders HTTP/1.1\r\nhost: entry\r\nnonsense\r\n\r\n", 400,
       "malformed_request"},
      {"a chunk size that is no number",
       Call("transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"), 400,
       "malformed_request"},
      {"a head that is too large",
       Call("x-filling: " + std::string(kHugeBytes, 'x') + "\r\ncontent-length: 0\r\n", ""), 431,
       "headers_too_large"},
      {"too many fields",
       Call(
           [] {
             std::string fields;
             for (int i = 0; i < 500; ++i) {
               fields += "x-field-" + std::to_string(i) + ": 1\r\n";
             }
             return fields;
           }(),
           ""),
       431, "headers_too_large"},
      {"a body that is too large", Call("content-length: 50000000\r\n", std::string(100000, 'x')),
       413, "body_too_large"},
  };
}

}  // namespace qh::test
