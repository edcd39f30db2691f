#pragma once

#include <string_view>

namespace qh::http {

/** Whether the head of a request determines the length of the body unambiguously. */
enum class Framing { kUnambiguous, kAmbiguous };

/**
 * Scans the raw head of a request (request line and header fields) for ambiguous framing: more than
 * one Content-Length, Content-Length together with Transfer-Encoding, a Transfer-Encoding other
 * than a single "chunked", or a Content-Length that is not a decimal number. A parser may silently
 * pick one interpretation, as h2o does, while a proxy in front of the server picked another one.
 */
Framing CheckFraming(std::string_view raw_head) noexcept;

}  // namespace qh::http
