#pragma once

#include <string>

#include "quetzalhinge/http/http_message.h"

namespace qh::http {

/**
 * Returns the head of `request` as it is sent: with `host`, without hop-by-hop fields, and with the
 * length of the body where one may follow.
 */
std::string SerializeRequestHead(const HttpRequest& request, const std::string& host,
                                 bool close_after);

}  // namespace qh::http
