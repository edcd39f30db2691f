#include "request_head.h"

namespace qh::http {

std::string SerializeRequestHead(const HttpRequest& request, const std::string& host,
                                 bool close_after) {
  std::string head = request.method + " " + request.path + " HTTP/1.1\r\nhost: " + host + "\r\n";
  for (const HttpHeader& header : WithoutHopByHop(request.headers)) {
    if (header.name != "host") {
      head += header.name + ": " + header.value + "\r\n";
    }
  }
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return head + (close_after ? "connection: close\r\n\r\n" : "\r\n");
}

}  // namespace qh::http
