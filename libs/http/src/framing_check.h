#pragma once

#include <string_view>

namespace qh::http {

/** How the head of a request describes the length of its body. */
enum class Framing { kClear, kAmbiguous };

/**
 * Scans the raw head of a request (request line and header fields) and reports whether its body's
 * length could be read in two ways: more than one content-length, content-length together with
 * transfer-encoding, a transfer-encoding other than one "chunked", or a content-length that is not
 * a plain number. h2o picks one reading silently, and a proxy in front may have picked the other.
 */
Framing CheckFraming(std::string_view raw_head) noexcept;

}  // namespace qh::http
