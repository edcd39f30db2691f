#pragma once

#include <string>

#include "quetzalhinge/http/http_message.h"

namespace qh::http {

/**
 * Serializes the head of `request`: adds Host with the value `host`, removes hop-by-hop fields, and
 * adds Content-Length unless the method is GET or HEAD and the body is empty. `close_after` adds
 * "connection: close".
 */
std::string SerializeRequestHead(const HttpRequest& request, const std::string& host,
                                 bool close_after);

}  // namespace qh::http
