#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace qh::http {

/** One header field. Names are lower case. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** Header fields in order. */
using HttpHeaders = std::vector<HttpHeader>;

/** A request, complete with its body. */
struct HttpRequest {
  std::string method;
  /** Path with query, starting with '/'. */
  std::string path;
  HttpHeaders headers;
  std::string body;
};

/** A response, complete with its body. The server adds content-length. */
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /** Whether the connection is to be closed after this response. */
  bool close_connection = false;
  /**
   * The body has no length: it ends with its connection, so that nobody can tell whether it is
   * whole. ConnectionServer passes it on in the same form.
   */
  bool ends_with_connection = false;
};

/** Returns the value of the first field `name` (lower case), or nothing. */
std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name);

/** Returns how many fields are called `name` (lower case). */
std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name);

/** Returns the path without its query. */
std::string_view PathOnly(std::string_view path_and_query) noexcept;

/** Returns the percent-decoded value of the query parameter `name`, or nothing. */
std::optional<std::string> QueryParameter(std::string_view path_and_query, std::string_view name);

/** Returns `text` with all characters escaped that a query value may not hold. */
std::string PercentEncode(std::string_view text);

/**
 * Returns `headers` without the hop-by-hop fields (RFC 9110, 7.6.1): connection and the fields
 * that it names, keep-alive, proxy-connection, te, trailer, transfer-encoding, upgrade, and the
 * framing field content-length.
 */
HttpHeaders WithoutHopByHop(const HttpHeaders& headers);

/** Returns the standard reason phrase of `status`, or "Unknown". */
const char* ReasonPhrase(int status) noexcept;

}  // namespace qh::http
