#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quetzalhinge/http/body.h"

namespace qh::http {

/** Requests go from the client to the server, responses back. */
enum class MessageKind { kRequest, kResponse };

/** A header field. The name is in lower case. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** Header fields in the order of the message; names may repeat. */
using HttpHeaders = std::vector<HttpHeader>;

/** A request with its complete body. */
struct HttpRequest {
  std::string method;
  /** Request target: path and query, starting with '/'. */
  std::string path;
  HttpHeaders headers;
  Body body;
};

/** A response with its body. The server adds Content-Length when it sends the response. */
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  Body body;
  /** Whether the server closes the connection after this response. */
  bool close_connection = false;
  /**
   * Whether the end of the body is marked only by the end of the connection. If the sender closes
   * the connection too early, the truncation cannot be detected; if it is reset, the response is
   * not complete. ConnectionServer sends the response without Content-Length.
   */
  bool ends_with_connection = false;
};

/** Returns the value of the first field called `name` (lower case), or nullopt. */
std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name);

/** Returns the number of fields called `name` (lower case). */
std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name);

/** Returns the path without the query. */
std::string_view PathOnly(std::string_view path_and_query) noexcept;

/** Returns the percent-decoded value of the query parameter `name`, or nullopt. */
std::optional<std::string> QueryParameter(std::string_view path_and_query, std::string_view name);

/** Percent-encodes every character of `text` that is not unreserved (RFC 3986, 2.3). */
std::string PercentEncode(std::string_view text);

/**
 * Returns `headers` without the hop-by-hop fields (RFC 9110, 7.6.1): Connection and the fields that
 * it lists, Keep-Alive, Proxy-Connection, TE, Trailer, Transfer-Encoding and Upgrade. Also removes
 * Content-Length, which is set anew when the message is sent.
 */
HttpHeaders WithoutHopByHop(const HttpHeaders& headers);

/** Returns the standard reason phrase of `status`, or "Unknown". */
const char* ReasonPhrase(int status) noexcept;

}  // namespace qh::http
